package corneltrack.policy.discovery

/**
 * Tells the present by two clocks: the steady one stands still while the machine is suspended, the time of day may be
 * set.
 *
 * @property steadyMs ms of the monotonic clock.
 * @property dayMs ms since the epoch.
 */
public data class BeliefTime(val steadyMs: Long, val dayMs: Long) {
    /**
     * Returns the longest time, in ms, that may have passed since [earlier].
     *
     * The larger of both clocks' differences counts, so that neither a suspension nor a clock set back makes a belief
     * look fresher than it is.
     */
    public fun since(earlier: BeliefTime): Long = maxOf(steadyMs - earlier.steadyMs, dayMs - earlier.dayMs)

    /** Returns this time [ms] later. */
    public fun plus(ms: Long): BeliefTime = BeliefTime(steadyMs + ms, dayMs + ms)
}

/** Tells the present time. */
public typealias BeliefClock = () -> BeliefTime
