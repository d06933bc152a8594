package corneltrack.policy.limits

/** The length of an interval, in ms; longer than the second for which the cold-start limit holds. */
private const val INTERVAL_MS = 1_100L

/** Any second overlaps at most two consecutive intervals. */
private const val INTERVALS_PER_SECOND = 2

/**
 * Divides the cold-start limit of an endpoint among the routers of a fleet.
 *
 * Each router starts at most one request in an interval at an endpoint that has just started. If all routers together
 * could still exceed the limit, some of them have their turn in each interval by the wall clock. The limit thus holds
 * even if all endpoints of a pool are in their cold start while many routers have requests for it.
 *
 * @param limit the requests that an endpoint can start within a second during its cold start.
 */
public data class ColdStartSchedule(private val limit: Int) {
    /**
     * Whether a router may start a request at an endpoint during its cold start.
     *
     * @param wallClockMs the wall clock, in ms since the epoch.
     */
    public fun mayStart(router: FleetPosition, wallClockMs: Long): Boolean {
        if (router.routers <= limit) return true
        val starts = maxOf(1, limit / INTERVALS_PER_SECOND)
        return router.turns(starts, Math.floorDiv(wallClockMs, INTERVAL_MS)) > 0
    }
}
