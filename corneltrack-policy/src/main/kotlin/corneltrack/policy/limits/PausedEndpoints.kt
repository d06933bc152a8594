package corneltrack.policy.limits

import corneltrack.world.EndpointId

/** Why a pause of an endpoint ended. */
public enum class PauseEnd {
    /** Its time is over. */
    PASSED,

    /** The endpoint has restarted. */
    RESTARTED,
}

/** Receives the beginning and the end of pauses, and statements that cannot be read. */
public interface PauseListener {
    /** Called when an endpoint that was not paused states a pause. */
    public fun onBegun(endpoint: EndpointId, stated: StatedPause.Duration)

    /** Called once after a pause of [lastedMs] in all. */
    public fun onEnded(endpoint: EndpointId, end: PauseEnd, lastedMs: Long)

    /** Called with each statement that pauses nothing since it cannot be read. */
    public fun onUnreadable(endpoint: EndpointId, stated: StatedPause.Unreadable, nowMs: Long)
}

/**
 * Remembers until when endpoints want no requests of this router, as they said when they refused one.
 *
 * An endpoint speaks only to the router that it refuses, and other routers may send it requests, so peers are not told.
 * The latest end of several pauses counts. A pause outlasts the entry of its endpoint in the store's list; only a later
 * incarnation ends it early. Not thread-safe.
 */
public class PausedEndpoints(private val listener: PauseListener? = null) {
    private data class Pause(val startedAtMs: Long, val sinceMs: Long, val untilMs: Long)

    private val pauses = HashMap<EndpointId, Pause>()

    /** Records what the incarnation of [endpoint] that started at [startedAtMs] stated in a refusal. */
    public fun onStated(endpoint: EndpointId, startedAtMs: Long, stated: StatedPause, nowMs: Long): Unit =
        when (stated) {
            StatedPause.None -> Unit
            is StatedPause.Duration -> pause(endpoint, startedAtMs, stated, nowMs)
            is StatedPause.Unreadable -> listener?.onUnreadable(endpoint, stated, nowMs) ?: Unit
        }

    private fun pause(endpoint: EndpointId, startedAtMs: Long, stated: StatedPause.Duration, nowMs: Long) {
        endIfOver(endpoint, startedAtMs, nowMs)
        val current = pauses[endpoint]
        val untilMs = nowMs + stated.durationMs
        when {
            current == null -> if (stated.durationMs > 0) {
                pauses[endpoint] = Pause(startedAtMs, nowMs, untilMs)
                listener?.onBegun(endpoint, stated)
            }
            current.startedAtMs == startedAtMs && untilMs > current.untilMs ->
                pauses[endpoint] = current.copy(untilMs = untilMs)
        }
    }

    /**
     * Returns how long the incarnation of [endpoint] that started at [startedAtMs] still wants nothing, in ms; 0 if it
     * takes requests.
     */
    public fun remainingMs(endpoint: EndpointId, startedAtMs: Long, nowMs: Long): Long {
        val pause = pauses[endpoint]?.takeIf { startedAtMs <= it.startedAtMs } ?: return 0
        return maxOf(0, pause.untilMs - nowMs)
    }

    /**
     * Forgets the pauses that are over.
     *
     * @param startedAtMs returns when the present incarnation of an endpoint started, or null if it is not listed.
     */
    public fun endPassed(nowMs: Long, startedAtMs: (EndpointId) -> Long?): Unit =
        pauses.keys.toList().forEach { endIfOver(it, startedAtMs(it), nowMs) }

    private fun endIfOver(endpoint: EndpointId, startedAtMs: Long?, nowMs: Long) {
        val pause = pauses[endpoint] ?: return
        val end = when {
            startedAtMs != null && startedAtMs > pause.startedAtMs -> PauseEnd.RESTARTED
            nowMs >= pause.untilMs -> PauseEnd.PASSED
            else -> return
        }
        pauses -= endpoint
        listener?.onEnded(endpoint, end, minOf(nowMs, pause.untilMs) - pause.sinceMs)
    }
}
