package corneltrack.control

import corneltrack.wire.prettyJson
import corneltrack.world.AgreementException
import corneltrack.world.BringBack
import corneltrack.world.Change
import corneltrack.world.MemberState
import corneltrack.world.Pool
import corneltrack.world.PutPool
import corneltrack.world.PutWorkspace
import corneltrack.world.RemoveException
import corneltrack.world.SetDefault
import corneltrack.world.SetException
import corneltrack.world.TakeOut
import corneltrack.world.Target
import corneltrack.world.TargetKind
import corneltrack.world.Terms
import corneltrack.world.Verdict
import corneltrack.world.Workspace
import corneltrack.world.WorkspaceId
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/** The format of a command's result. */
internal enum class OutputFormat { TEXT, JSON }

/**
 * The options and services that commands run with.
 *
 * @property inForceTimeoutMs the time to wait for a change to be in force on all routers, in ms.
 * @property monotonicMs returns the time of the monotonic clock, in ms.
 * @property wallClockMs returns the time of the wall clock, in ms since the epoch.
 * @property print writes the result.
 */
internal class CommandContext(
    val client: OperatorClient,
    val output: OutputFormat,
    val inForceTimeoutMs: Long,
    val monotonicMs: () -> Long,
    val wallClockMs: () -> Long,
    val print: (String) -> Unit,
)

/**
 * The report of an accepted change.
 *
 * @property acceptedMs the time until the change was accepted, in ms.
 * @property inForceMs the time until the change was in force on every listed router, in ms, or null if it is not yet.
 * @property notInForce the routers that have not applied the change within the timeout.
 */
@Serializable
internal data class ChangeReport(
    val changeId: String,
    val offset: Long,
    val subject: String,
    val before: String,
    val after: String,
    val acceptedMs: Long,
    val inForceMs: Long?,
    val notInForce: List<String>,
)

/** A subcommand of corneltrackctl. */
internal abstract class OperatorCommand(name: String, help: String) : kotlinx.cli.Subcommand(name, help) {
    /** Whether the command was selected on the command line. */
    var selected: Boolean = false
        private set

    override fun execute() {
        selected = true
    }

    abstract fun run(context: CommandContext)
}

/** A subcommand that makes one change and waits until it is in force on all routers. */
internal abstract class ChangeCommand(name: String, help: String) : OperatorCommand(name, help) {
    private val why by option(ArgType.String, "why", "w", "Why the change is made, for the audit trail").default("")

    abstract fun change(): Change

    open fun reason(): String = why

    override fun run(context: CommandContext) {
        val startedAtMs = context.monotonicMs()
        val entry = context.client.apply(change(), reason(), context.wallClockMs())
        val acceptedMs = context.monotonicMs() - startedAtMs
        if (entry.verdict == Verdict.LOST_RACE) {
            throw CommandException(ExitCode.LOST_RACE, "Another change of ${entry.record.change.subject} came first.")
        }
        if (entry.verdict == Verdict.INVALID) {
            throw CommandException(ExitCode.USAGE, entry.findings.joinToString("\n"))
        }
        val behind = context.client.awaitInForce(entry.offset, context.inForceTimeoutMs, context.monotonicMs)
        val names = behind.map { it.instance.id.value }
        val inForceMs = (context.monotonicMs() - startedAtMs).takeIf { behind.isEmpty() }
        val report = ChangeReport(
            entry.record.changeId,
            entry.offset,
            entry.record.change.subject,
            entry.before,
            entry.after,
            acceptedMs,
            inForceMs,
            names,
        )
        context.write(report) { it.text() }
        if (behind.isNotEmpty()) {
            throw CommandException(ExitCode.NOT_IN_FORCE, "Accepted, but not yet in force on: ${names.joinToString()}.")
        }
    }
}

private fun ChangeReport.text(): String = listOfNotNull(
    "accepted: $subject at offset $offset after $acceptedMs ms",
    inForceMs?.let { "in force on every listed router after $it ms" },
    "before: $before",
    "after:  $after",
).joinToString("\n")

internal inline fun <reified T> CommandContext.write(value: T, text: (T) -> String) =
    print(if (output == OutputFormat.JSON) prettyJson.encodeToString(value) else text(value))

internal class SetDefaultCommand : ChangeCommand("set-default", "Replace the fleet-wide default terms") {
    private val weight by option(ArgType.Double, "weight", description = "Share relative to others").required()
    private val cap by option(ArgType.Double, "cap", description = "Largest fraction of a cell, 0 to 1").required()
    private val waiting by option(ArgType.Int, "waiting-limit", description = "Limit of waiting requests").required()

    override fun change(): Change = SetDefault(Terms(weight, cap, waiting))
}

internal class SetExceptionCommand : ChangeCommand("set-exception", "Make an exception for one workspace") {
    private val workspace by argument(ArgType.String, "workspace", "The workspace")
    private val weight by option(ArgType.Double, "weight", description = "Share relative to others").required()
    private val cap by option(ArgType.Double, "cap", description = "Largest fraction of a cell, 0 to 1").required()
    private val waiting by option(ArgType.Int, "waiting-limit", description = "Limit of waiting requests").required()
    private val reason by option(ArgType.String, "reason", description = "The written reason").required()

    override fun change(): Change =
        SetException(AgreementException(WorkspaceId(workspace), Terms(weight, cap, waiting), reason))

    override fun reason(): String = reason
}

internal class RemoveExceptionCommand : ChangeCommand("remove-exception", "Remove a workspace's exception") {
    private val workspace by argument(ArgType.String, "workspace", "The workspace")

    override fun change(): Change = RemoveException(WorkspaceId(workspace))
}

internal class PutWorkspaceCommand : ChangeCommand("put-workspace", "Add or replace a workspace") {
    private val workspace by argument(ArgType.String, "workspace", "The workspace")
    private val hashes by option(ArgType.String, "key-hash", description = "SHA-256 of an API key, hexadecimal")
        .multiple()

    override fun change(): Change = PutWorkspace(Workspace(WorkspaceId(workspace), hashes.toSet()))
}

internal class PutPoolCommand : ChangeCommand("put-pool", "Add or replace a pool") {
    private val pool by argument(ArgType.String, "pool", "The pool as a JSON object")

    override fun change(): Change =
        try {
            PutPool(Json.decodeFromString<Pool>(pool))
        } catch (fault: SerializationException) {
            throw CommandException(ExitCode.USAGE, "pool: ${fault.message.orEmpty().lineSequence().first()}", fault)
        }
}

internal class ServiceStateCommand(name: String, help: String, private val createChange: (Target) -> Change) :
    ChangeCommand(name, help) {
    private val kind by argument(
        ArgType.Choice<TargetKind>({ TargetKind.valueOf(it.uppercase().replace('-', '_')) }, {
            it.name.lowercase().replace('_', '-')
        }),
        "kind",
        "data-centre, instance or endpoint",
    )
    private val id by argument(ArgType.String, "id", "The id of the data centre, instance or endpoint")

    override fun change(): Change = createChange(Target(kind, id))
}

internal fun takeOutCommand(): ServiceStateCommand =
    ServiceStateCommand("take-out", "Take something out of service") { TakeOut(it) }

internal fun bringBackCommand(): ServiceStateCommand =
    ServiceStateCommand("bring-back", "Bring something back into service") { BringBack(it) }

internal class ShowCommand : OperatorCommand("show", "Show the agreement, workspaces and pools") {
    override fun run(context: CommandContext) {
        val configuration = context.client.configuration().copy(history = emptyList())
        context.print(prettyJson.encodeToString(configuration))
    }
}

internal class StatusCommand : OperatorCommand("status", "Show the status of the fleet") {
    override fun run(context: CommandContext) {
        val leaving = context.client.fleet().endpoints
            .filter { it.state == MemberState.LEAVING }
            .groupingBy { it.cell.toString() }
            .eachCount()
        val report = fleetReport(context.client.configuration(), context.client.statuses(), leaving)
        context.write(report) { it.text() }
    }
}

internal class AuditCommand : OperatorCommand("audit", "Show who changed what, when and why") {
    private val last by option(ArgType.Int, "last", "n", "How many changes to show").default(DEFAULT_AUDIT_ENTRIES)

    override fun run(context: CommandContext) {
        val entries = context.client.configuration().history.takeLast(last)
        context.write(entries) { it.text() }
    }
}

private const val DEFAULT_AUDIT_ENTRIES = 20
