package corneltrack.testbed

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** Runs the quick start or one of the measuring commands. */
@OptIn(ExperimentalCli::class)
public fun main(arguments: Array<String>) {
    val parser = ArgParser("corneltrack-testbed")
    parser.subcommands(QuickStart(), Measure(), Overhead(), Slopes())
    parser.parse(arguments)
}
