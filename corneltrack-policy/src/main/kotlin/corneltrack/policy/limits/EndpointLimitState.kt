package corneltrack.policy.limits

/**
 * How long after a response that states a limit other responses without one do not end it, in ms: an endpoint may state
 * it in some responses only, and responses overtake each other.
 */
private const val HOLD_MS = 2_000L

/** The lowest limit that is kept to, so that an endpoint which states less is still asked whether that holds. */
private const val MINIMUM_REQUESTS_PER_SECOND = 0.1

/**
 * What is known about the limit of an endpoint at a point in time.
 *
 * @property requestsPerSecond the limit for all routers together, or null for none.
 * @property observedMs when an endpoint's response showed this, in ms of the monotonic clock.
 */
public data class LimitObservation(val requestsPerSecond: Double?, val observedMs: Long)

/**
 * Keeps the limit that an endpoint states for the requests of all routers together. Not thread-safe.
 *
 * The newest observation counts, this router's or a peer's, since a limited endpoint answers each router seldom. It
 * lasts until responses no longer state a limit; it survives a restart of the endpoint until the new incarnation has
 * answered.
 */
public class EndpointLimitState {
    private var newest: LimitObservation? = null
    private var own: LimitObservation? = null

    /** The limit in force, in requests a second of all routers together, or null for none. */
    public val requestsPerSecond: Double? get() = newest?.requestsPerSecond

    /** Records what a response states. Returns whether the limit in force changed. */
    public fun onResponse(stated: StatedLimit, nowMs: Long): Boolean = when (stated) {
        is StatedLimit.Unreadable -> false
        is StatedLimit.Rate -> observeOwn(maxOf(MINIMUM_REQUESTS_PER_SECOND, stated.requestsPerSecond), nowMs)
        StatedLimit.None -> {
            val held = newest?.takeIf { it.requestsPerSecond != null }
            if (held != null && nowMs - held.observedMs >= HOLD_MS) observeOwn(null, nowMs) else false
        }
    }

    /** Records what a peer observed. Returns whether the limit in force changed. */
    public fun onPeer(observation: LimitObservation): Boolean {
        val current = newest
        if (current != null && observation.observedMs <= current.observedMs) return false
        newest = observation
        return observation.requestsPerSecond != current?.requestsPerSecond
    }

    /** Returns what this router itself observed within [maximumAgeMs], to be told to its peers. */
    public fun recentObservation(nowMs: Long, maximumAgeMs: Long): LimitObservation? =
        own?.takeIf { nowMs - it.observedMs <= maximumAgeMs }

    private fun observeOwn(requestsPerSecond: Double?, nowMs: Long): Boolean {
        val observation = LimitObservation(requestsPerSecond, nowMs)
        own = observation
        val changed = newest?.requestsPerSecond != requestsPerSecond
        newest = observation
        return changed
    }
}
