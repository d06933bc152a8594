package corneltrack.control

import corneltrack.wire.AppendResult
import corneltrack.wire.CONFIGURATION_STREAM
import corneltrack.wire.ControlClient
import corneltrack.wire.ControlRequest
import corneltrack.wire.ControlResult
import corneltrack.wire.FleetListClient
import corneltrack.wire.LogClient
import corneltrack.wire.LogPage
import corneltrack.wire.ReadResult
import corneltrack.wire.RouterStatus
import corneltrack.wire.wireJson
import corneltrack.world.AuditEntry
import corneltrack.world.Change
import corneltrack.world.ChangeRecord
import corneltrack.world.Configuration
import corneltrack.world.ConfigurationEntry
import corneltrack.world.FleetList
import corneltrack.world.FoldResult
import corneltrack.world.Instance
import corneltrack.world.StreamEntry
import corneltrack.world.UnreadableEntry
import corneltrack.world.fold
import corneltrack.world.validate
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import java.util.UUID
import java.util.concurrent.CompletableFuture

private const val READ_BACK_ATTEMPTS = 10
private const val READ_BACK_PAUSE_MS = 300L
private const val POLL_MS = 50L

/** The result of a status request to [instance]. [status] is null if there was no valid response. */
internal data class RouterStatusResult(val instance: Instance, val status: RouterStatus?)

/** Reads and changes the fleet's configuration for the operator in [settings]. */
internal class OperatorClient(private val settings: ControlSettings, private val client: ControlClient) {
    private val log = LogClient(client, settings.log)
    private val list = FleetListClient(client, settings.instances, "corneltrackctl")

    /** Returns the configuration at the end of the stream. */
    fun configuration(): Configuration {
        var state = Configuration()
        do {
            val page = read(state.offset + 1)
            val before = state.offset
            state = state.foldPage(page)
        } while (state.offset + 1 < page.next && state.offset > before)
        return state
    }

    /**
     * Appends [change] to the stream and returns the audit entry with its outcome.
     *
     * An append without a response is not retried. Instead, the stream is read for the change.
     *
     * @param why the reason of the change, for the audit trail.
     * @param atMs the time of the wall clock, in ms since the epoch.
     */
    fun apply(change: Change, why: String, atMs: Long): AuditEntry {
        val state = configuration()
        val record = ChangeRecord(UUID.randomUUID().toString(), state.offset, settings.operator, why, atMs, change)
        val findings = record.validate(state)
        if (findings.isNotEmpty()) {
            throw CommandException(ExitCode.USAGE, findings.joinToString("\n"))
        }
        append(record)
        return readBack(record.changeId) ?: throw CommandException(
            ExitCode.UNKNOWN,
            "The change ${record.changeId} may or may not be in the log; check with 'corneltrackctl audit'.",
        )
    }

    private fun append(record: ChangeRecord) {
        val result = log.append(CONFIGURATION_STREAM, wireJson.encodeToString<ConfigurationEntry>(record)).join()
        if (result is AppendResult.Refused) {
            throw CommandException(ExitCode.UNAVAILABLE, "Nothing was changed: append refused: ${result.reason}")
        }
    }

    /** Waits until every listed router has applied [offset]. Returns those that have not done so within [timeoutMs]. */
    fun awaitInForce(offset: Long, timeoutMs: Long, monotonicMs: () -> Long): List<RouterStatusResult> {
        val startedAtMs = monotonicMs()
        while (true) {
            val behind = statuses().filter { (it.status?.configurationOffset ?: -1) < offset }
            if (behind.isEmpty() || monotonicMs() - startedAtMs > timeoutMs) {
                return behind
            }
            Thread.sleep(POLL_MS)
        }
    }

    /** Requests the status of every listed router. */
    fun statuses(): List<RouterStatusResult> {
        val request = ControlRequest(HttpMethod.GET, "/status", secret = settings.secret)
        val pending = fleet().instances.map { instance ->
            client.send(instance.address, request).thenApply { RouterStatusResult(instance, decodeStatus(it)) }
        }
        return pending.map(CompletableFuture<RouterStatusResult>::join)
    }

    /** Returns the current instance list. */
    fun fleet(): FleetList =
        list.read().join() ?: throw CommandException(ExitCode.UNAVAILABLE, "The instance list does not answer.")

    private fun readBack(changeId: String): AuditEntry? {
        repeat(READ_BACK_ATTEMPTS) {
            val history = runCatching { configuration() }.getOrNull()?.history.orEmpty()
            val found = history.lastOrNull { it.record.changeId == changeId }
            if (found != null) {
                return found
            }
            Thread.sleep(READ_BACK_PAUSE_MS)
        }
        return null
    }

    private fun read(from: Long): LogPage = when (val result = log.read(CONFIGURATION_STREAM, from).join()) {
        is ReadResult.Page -> result.page
        is ReadResult.Unavailable ->
            throw CommandException(ExitCode.UNAVAILABLE, "The log does not answer: ${result.reason}")
    }

    private fun Configuration.foldPage(page: LogPage): Configuration {
        val entries = page.records.map { StreamEntry(it.offset, decode(it.data)) }
        return when (val result = fold(entries, page.oldest)) {
            is FoldResult.Folded -> result.configuration
            is FoldResult.Gap ->
                throw CommandException(
                    ExitCode.UNAVAILABLE,
                    "The records after offset ${result.appliedOffset} have expired, and no snapshot covers them."
                )
        }
    }

    private fun decode(data: String): ConfigurationEntry =
        try {
            wireJson.decodeFromString<ConfigurationEntry>(data)
        } catch (_: SerializationException) {
            UnreadableEntry
        }
}

private fun decodeStatus(result: ControlResult): RouterStatus? =
    try {
        (result as? ControlResult.Responded)?.takeIf { it.ok }?.let {
            wireJson.decodeFromString<RouterStatus>(
                it.body
            )
        }
    } catch (_: SerializationException) {
        null
    }
