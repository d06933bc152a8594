package corneltrack.policy.discovery

/**
 * Tells the present by two clocks: the steady one stands still while the machine is suspended, the time of day may be
 * set.
 *
 * @property monotonicMs ms of the monotonic clock.
 * @property wallClockMs ms since the epoch.
 */
public data class ClockReading(val monotonicMs: Long, val wallClockMs: Long) {
    /**
     * Returns the longest time, in ms, that may have passed since [earlier].
     *
     * The larger of both clocks' differences counts, so that neither a suspension nor a clock set back makes a belief
     * look fresher than it is.
     */
    public fun since(earlier: ClockReading): Long =
        maxOf(monotonicMs - earlier.monotonicMs, wallClockMs - earlier.wallClockMs)

    /** Returns this time [ms] later. */
    public fun plus(ms: Long): ClockReading = ClockReading(monotonicMs + ms, wallClockMs + ms)
}

/** Tells the present time. */
public typealias Clocks = () -> ClockReading
