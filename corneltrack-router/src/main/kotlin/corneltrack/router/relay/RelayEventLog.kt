package corneltrack.router.relay

import corneltrack.policy.limits.EndpointSignal
import corneltrack.policy.limits.RelayAttemptResult
import corneltrack.policy.limits.SlidingWindowLimiter
import corneltrack.policy.limits.StatedLimit
import corneltrack.router.callers.Refusal
import corneltrack.wire.LogEvent
import corneltrack.wire.event
import corneltrack.world.EndpointId
import corneltrack.world.WorkspaceId
import org.apache.logging.log4j.LogManager

private const val PERCENT = 100

/**
 * The refusals at admission that are logged in one second, so that a flood does not spend the processor on log lines.
 */
private const val MAXIMUM_REFUSALS_LOGGED = 100
private const val LOG_WINDOW_MS = 1_000L
private val logger = LogManager.getLogger("corneltrack.router.relay.RelayJournal")

/**
 * Logs one line for each decision about a request.
 *
 * @param tableVersion returns the version of the current routing table, or null before the first one.
 * @param tableState returns how current that table is.
 * @param endpointAgeMs returns the age of the cached endpoint records in ms, or null before they are known.
 */
internal class RelayEventLog(
    private val tableVersion: () -> Long?,
    private val tableState: () -> ViewState,
    private val endpointAgeMs: () -> Long?,
) {
    private val refusalsLogged = SlidingWindowLimiter(LOG_WINDOW_MS)

    /** Logs a refusal, unless many have been logged within a second; `router_load` counts them all. */
    fun refusedAtAdmission(
        metadata: CallerMetadata,
        workspace: WorkspaceId?,
        refusal: Refusal,
        lagMs: Long,
        nowMs: Long,
    ) {
        if (!refusalsLogged.allows(MAXIMUM_REFUSALS_LOGGED, nowMs)) return
        refusalsLogged.onEvent(nowMs)
        logger.event("request_refused") { refusalFields(metadata, workspace, refusal, lagMs) }
    }

    private fun LogEvent.refusalFields(
        metadata: CallerMetadata,
        workspace: WorkspaceId?,
        refusal: Refusal,
        lagMs: Long,
    ) {
        field("request", metadata.requestId)
        field("workspace", workspace)
        field("path", metadata.path)
        field("status", refusal.status.code())
        field("reason", refusal.code)
        field("lag_ms", lagMs)
        field("table", tableVersion())
        tableState().addTo(this, "table_age_ms")
    }

    fun placed(call: RelayedCall, target: Target, nowMs: Long) = logger.event("request_placed") {
        field("request", call.id)
        field("route", call.route.name)
        field("workspace", call.workspace)
        field("endpoint", target.endpoint.id)
        field("expected_ms", target.expected.waitMs.toLong())
        paceFields(target, nowMs)
        field("unread_tokens", target.expected.prefillTokens)
        field("missed_tokens", target.expected.missedTokens)
        field("copied_tokens", target.prefixSource?.transfer?.tokens)
        field("copied_from", target.prefixSource?.endpoint?.id)
        field("shared_tokens", call.generation?.sharedTokens)
        field("attempt", call.attempts + 1)
        field("stream_version", call.streamVersion)
        field("waited_ms", nowMs - call.times.arrivedMs)
        shareFields(call)
        field("table", tableVersion())
        tableState().addTo(this, "table_age_ms")
        field("belief_age_ms", endpointAgeMs())
    }

    /** Fields of endpoints that state their pace alone. */
    private fun LogEvent.paceFields(target: Target, nowMs: Long) {
        val pace = target.state.service.paced.pace
        val ageMs = pace.ageMs(nowMs) ?: return
        field("pace_percent", (pace.at(nowMs) * PERCENT).toLong())
        field("pace_age_ms", ageMs)
    }

    fun attemptEnded(call: RelayedCall, target: Target, result: RelayAttemptResult) = logger.event("attempt_ended") {
        field("request", call.id)
        field("endpoint", target.endpoint.id)
        field("end", result)
    }

    fun ended(call: RelayedCall, result: String, status: Int?, nowMs: Long) =
        logger.event("request_ended") {
            field("request", call.id)
            field("route", call.route.name)
            field("workspace", call.workspace)
            field("result", result)
            field("status", status)
            field("attempts", call.attempts)
            field("first_event_ms", call.firstEventMs?.let { it - call.times.arrivedMs })
            field("longest_pause_ms", call.longestPauseMs)
            field("elapsed_ms", nowMs - call.times.arrivedMs)
            field("left_ms", call.times.callerDeadlineMs - call.times.arrivedMs)
            shareFields(call)
            field("prompt_tokens", call.generation?.promptTokens)
            field("output_tokens", call.generation?.outputTokens)
        }

    private fun LogEvent.shareFields(call: RelayedCall) {
        field("earlier_wait_ms", call.times.earlierWaitMs)
        field("share_percent", call.fairShareRatio?.let { (it * PERCENT).toLong() })
    }

    fun limitStated(endpoint: EndpointId, stated: StatedLimit, inForce: Double?) = logger.event("endpoint_limit") {
        field("endpoint", endpoint)
        field("stated", (stated as? StatedLimit.Unreadable)?.text ?: stated)
        field("requests_per_second", inForce)
    }

    fun ejected(endpoint: EndpointId, signal: EndpointSignal) = logger.event("endpoint_ejected") {
        field("endpoint", endpoint)
        field("sign", signal.name.lowercase())
    }
}
