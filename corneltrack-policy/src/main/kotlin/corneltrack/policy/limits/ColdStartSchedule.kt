package corneltrack.policy.limits

/** The length of a turn, in ms; longer than the second over which starts are counted. */
private const val INTERVAL_MS = 1_100L

/** Two turns that follow each other may share a second. */
private const val INTERVALS_PER_SECOND = 2

/**
 * Divides the starts that a cold endpoint bears in a second among the routers of a fleet.
 *
 * Answers a pool whose endpoints are all cold while many routers have requests for it: where each router's one start a
 * turn could exceed the limit, the routers take turns by the time of day.
 *
 * @param limit the requests that a cold endpoint bears within a second.
 */
public data class ColdStartSchedule(private val limit: Int) {
    /**
     * Returns whether the router at [position] of [routers], in the order of their names, may start a request at a cold
     * endpoint.
     *
     * @param wallClockMs the time of day, in ms since the epoch.
     */
    public fun mayStart(position: Int, routers: Int, wallClockMs: Long): Boolean {
        if (routers <= limit) return true
        val routersPerInterval = maxOf(1, limit / INTERVALS_PER_SECOND)
        val groups = (routers + routersPerInterval - 1) / routersPerInterval
        return (wallClockMs / INTERVAL_MS) % groups == (position / routersPerInterval).toLong()
    }
}
