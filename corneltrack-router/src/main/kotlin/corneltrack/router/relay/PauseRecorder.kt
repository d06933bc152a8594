package corneltrack.router.relay

import corneltrack.policy.limits.PauseEnd
import corneltrack.policy.limits.PauseListener
import corneltrack.policy.limits.SlidingWindowLimiter
import corneltrack.policy.limits.StatedPause
import corneltrack.wire.event
import corneltrack.world.EndpointId
import org.apache.logging.log4j.LogManager

/** The lines in one second about pauses that cannot be read. */
private const val MAXIMUM_UNREADABLE_LINES = 10
private const val LOG_WINDOW_MS = 1_000L
private val logger = LogManager.getLogger("corneltrack.router.relay.RelayRouter")

/** Logs the beginning and the end of each pause of an endpoint, and counts the pauses. */
internal class PauseRecorder(private val metrics: RelayMetrics) : PauseListener {
    private val unreadableLogged = SlidingWindowLimiter(LOG_WINDOW_MS)

    override fun onBegun(endpoint: EndpointId, stated: StatedPause.Duration) {
        metrics.onPaused()
        logger.event("endpoint_paused") {
            field("endpoint", endpoint)
            field("stated", stated.text)
            field("for_ms", stated.durationMs)
        }
    }

    override fun onEnded(endpoint: EndpointId, end: PauseEnd, lastedMs: Long) = logger.event("endpoint_pause_ended") {
        field("endpoint", endpoint)
        field("end", end.name.lowercase())
        field("lasted_ms", lastedMs)
    }

    override fun onUnreadable(endpoint: EndpointId, stated: StatedPause.Unreadable, nowMs: Long) {
        if (!unreadableLogged.allows(MAXIMUM_UNREADABLE_LINES, nowMs)) return
        unreadableLogged.onEvent(nowMs)
        logger.event("endpoint_pause_unreadable") {
            field("endpoint", endpoint)
            field("stated", stated.text)
        }
    }
}
