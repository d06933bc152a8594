package corneltrack.policy.discovery

/**
 * Readings of the monotonic clock and the wall clock, taken together.
 *
 * Neither clock alone measures the age of cached state: the monotonic clock stops while the machine is suspended, and
 * the wall clock may be set.
 *
 * @property monotonicMs the monotonic clock, in ms.
 * @property wallClockMs the wall clock, in ms since the epoch.
 */
public data class ClockReading(val monotonicMs: Long, val wallClockMs: Long) {
    /**
     * Returns the maximum time that may have passed since [earlier], in ms.
     *
     * This is the larger difference of the two clocks, so that neither a suspension of the machine nor a wall clock
     * that was set back makes cached state appear fresher than it is.
     */
    public fun since(earlier: ClockReading): Long =
        maxOf(monotonicMs - earlier.monotonicMs, wallClockMs - earlier.wallClockMs)

    /** Returns this reading with both clocks advanced by [ms]. */
    public fun plus(ms: Long): ClockReading = ClockReading(monotonicMs + ms, wallClockMs + ms)
}

/** Reads both clocks. */
public typealias Clocks = () -> ClockReading
