package corneltrack.policy.limits

import kotlin.math.floor

/** The length of an interval, in ms; short beside the 4 s in which an endpoint may not get much more than its limit. */
private const val INTERVAL_MS = 1_000L
private const val MS_PER_SECOND = 1_000.0

/**
 * The rate, in requests a second, up to which unused starts are made up for. One more interval's starts then stay
 * within the few requests by which an endpoint's limit may be exceeded.
 */
private const val MAXIMUM_MADE_UP_RATE = 5.0

/**
 * Divides the rate of requests that an endpoint takes from all routers together among them.
 *
 * Time is cut into intervals by the wall clock, and the starts of each are divided by [FleetPosition.turns]. So the
 * rate holds for a fleet of more routers than it has requests, for routers that hear none of their peers, and for those
 * that wake from a pause; clocks that differ by less than an interval add at most one interval's starts.
 *
 * @property requestsPerSecond the rate for the whole fleet.
 */
public data class FleetRateLimit(private val requestsPerSecond: Double) {
    /**
     * Whether the router may start another request in the interval that [wallClockMs] is in.
     *
     * At a low rate it may make up for what it did not use of the interval before, since it seldom has a turn and may
     * have had no request for the endpoint then.
     *
     * @param started the starts of this router at the endpoint.
     */
    public fun mayStart(router: FleetPosition, started: IntervalStarts, wallClockMs: Long): Boolean {
        val interval = interval(wallClockMs)
        val count = started.count(interval)
        val unused = starts(router, interval - 1) - started.count(interval - 1)
        val madeUp = if (requestsPerSecond <= MAXIMUM_MADE_UP_RATE) maxOf(0, unused) else 0
        return count < starts(router, interval) + madeUp
    }

    /** Returns how many requests the router may start in [interval]. */
    private fun starts(router: FleetPosition, interval: Long): Int =
        router.turns((total(interval + 1) - total(interval)).toInt(), interval)

    /** The number of starts before [interval], counted from the epoch. */
    private fun total(interval: Long) = floor(interval * INTERVAL_MS / MS_PER_SECOND * requestsPerSecond).toLong()
}

/** Counts the requests that a router starts at one endpoint in the intervals of [FleetRateLimit]. Not thread-safe. */
public class IntervalStarts {
    private var interval = Long.MIN_VALUE
    private var count = 0
    private var previousCount = 0

    /** Records a start. */
    public fun onStart(wallClockMs: Long) {
        val current = interval(wallClockMs)
        previousCount = count(current - 1)
        count = count(current) + 1
        interval = current
    }

    /** Returns the number of starts in [interval], the latest one with a start or the one before that. */
    internal fun count(interval: Long): Int = when (interval) {
        this.interval -> count
        this.interval - 1 -> previousCount
        else -> 0
    }
}

private fun interval(wallClockMs: Long): Long = Math.floorDiv(wallClockMs, INTERVAL_MS)
