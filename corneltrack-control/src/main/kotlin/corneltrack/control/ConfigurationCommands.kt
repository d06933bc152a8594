package corneltrack.control

import corneltrack.platform.ConfigurationReport
import corneltrack.platform.checkConfiguration
import corneltrack.wire.prettyJson
import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.serialization.encodeToString
import java.io.File
import java.io.IOException

/** Groups the commands on configuration files, which need no connection to the platform. */
internal class ConfigurationCommand(check: CheckConfigurationCommand) :
    Subcommand("configuration", "Work on configuration files") {
    init {
        subcommands(check)
    }

    override fun execute() = Unit
}

/**
 * Checks a configuration file before it is sent, and shows what differs from the one in force.
 *
 * @param check checks a configuration, and compares it with the one in force if there is one.
 */
internal class CheckConfigurationCommand(
    private val check: (proposed: ByteArray, current: ByteArray?) -> ConfigurationReport = ::checkConfiguration,
) : Subcommand("check", "Check a configuration file before it is sent") {
    private val file by argument(ArgType.String, "file", "The configuration to check")
    private val against by option(ArgType.String, "against", description = "The configuration in force")
    private val json by option(ArgType.Boolean, "json", description = "Print the result as JSON")

    /** Whether the command was selected on the command line. */
    var selected: Boolean = false
        private set

    override fun execute() {
        selected = true
    }

    /** Prints the report. Throws with [ExitCode.FINDINGS] for errors, with [ExitCode.USAGE] for an unreadable file. */
    fun run(output: OutputFormat, print: (String) -> Unit) {
        val report = check(readFile(file), against?.let(::readFile))
        print(if (json == true || output == OutputFormat.JSON) prettyJson.encodeToString(report) else report.text())
        if (!report.valid) throw CommandException(ExitCode.FINDINGS, "$file: the configuration has errors")
    }

    private fun readFile(path: String): ByteArray = try {
        File(path).readBytes()
    } catch (fault: IOException) {
        throw CommandException(ExitCode.USAGE, "$path: ${fault.message}", fault)
    }
}

private fun ConfigurationReport.text(): String {
    val lines = findings.map { it.toString() } + changes.map { "change: $it" }
    return lines.ifEmpty { listOf("nothing found") }.joinToString("\n")
}
