package corneltrack.control

import corneltrack.wire.ControlClient
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess

private const val DEFAULT_IN_FORCE_TIMEOUT_MS = 10_000

/** Runs one corneltrackctl command and exits with its [ExitCode]. */
public fun main(arguments: Array<String>) {
    val code = try {
        runCommand(arguments)
        ExitCode.DONE
    } catch (failure: CommandException) {
        System.err.println(failure.message)
        failure.exitCode
    }
    exitProcess(code.code)
}

private fun runCommand(arguments: Array<String>) {
    val parser = ArgParser("corneltrackctl")
    val settingsFile by parser.option(ArgType.String, "settings", "s", "JSON file with the operator's settings")
        .default(System.getenv("CORNELTRACKCTL_SETTINGS") ?: "corneltrackctl.json")
    val output by parser.option(ArgType.Choice<OutputFormat>(), "output", "o", "The format of the result")
        .default(OutputFormat.TEXT)
    val timeout by parser.option(ArgType.Int, "in-force-timeout-ms", description = "Time to wait for routers, in ms")
        .default(DEFAULT_IN_FORCE_TIMEOUT_MS)
    val commands = allCommands()
    val check = CheckConfigurationCommand()
    commands.forEach { parser.subcommands(it) }
    parser.subcommands(ConfigurationCommand(check))
    parser.parse(arguments)
    if (check.selected) return check.run(output, ::println)
    val command = commands.firstOrNull { it.selected }
        ?: throw CommandException(ExitCode.USAGE, "No command given; 'corneltrackctl --help' lists the commands.")
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    try {
        val client = OperatorClient(readControlSettings(settingsFile), ControlClient(group))
        val monotonicMs = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) }
        val context =
            CommandContext(client, output, timeout.toLong(), monotonicMs, System::currentTimeMillis, ::println)
        command.run(context)
    } finally {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

private fun allCommands(): List<OperatorCommand> = listOf(
    SetDefaultCommand(),
    SetExceptionCommand(),
    RemoveExceptionCommand(),
    PutWorkspaceCommand(),
    PutPoolCommand(),
    takeOutCommand(),
    bringBackCommand(),
    ShowCommand(),
    StatusCommand(),
    AuditCommand(),
)
