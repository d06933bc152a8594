package corneltrack.policy.rollout

import corneltrack.world.InstanceId

/** The time slices of an order; responses of both versions are compared within the same slices. */
internal const val EVIDENCE_SLICES = 5

/** Slices begin at these shares of the duration; they are shorter after half of it, when a version may turn bad. */
private const val SECOND_SLICE = 0.25
private const val THIRD_SLICE = 0.5
private const val FOURTH_SLICE = 0.625
private const val LAST_SLICE = 0.75
private val SLICE_STARTS = doubleArrayOf(SECOND_SLICE, THIRD_SLICE, FOURTH_SLICE, LAST_SLICE)

/** The first slice after half of the duration. */
internal const val SLICE_AFTER_HALF = 2

/**
 * Returns the time slice of a response, from 0.
 *
 * @param sinceOrderMs the time between the order and the response, in ms.
 * @param durationMs the duration of the order, in ms.
 */
public fun evidenceSlice(sinceOrderMs: Long, durationMs: Long): Int =
    SLICE_STARTS.count { sinceOrderMs >= it * durationMs }

/**
 * The outcome of one attempt at an endpoint, as evidence about the endpoint's version.
 *
 * @property failed whether the endpoint failed: status 5xx other than a rejection that did not run, a broken or
 *   unsigned response, or a stall. Rejections, timeouts of callers and cancelled attempts are no evidence.
 * @property firstEventRatio the observed divided by the expected time to the first event or to the response; null if
 *   there was none.
 * @property pauseRatio the observed divided by the expected pause between events; null if there were no two events.
 */
public data class RolloutResponse(
    val version: String,
    val route: String,
    val failed: Boolean,
    val firstEventRatio: Double?,
    val pauseRatio: Double? = null,
)

/**
 * What a router knows about the responses of the target version of an order and of the others: its own responses and
 * those that its peers report.
 *
 * @param instance the router itself; its own counters are never taken from a peer's report.
 * @param incarnationMs when this run of the router started, in ms.
 * @param orderedAtMs when the order was first seen, by the clock of [onResponse], in ms.
 */
public class RolloutEvidence(
    public val order: RolloutOrder,
    private val instance: InstanceId,
    private val incarnationMs: Long,
    private val orderedAtMs: Long,
) {
    private val own = HashMap<String, RouteCounters>()
    private val totals = HashMap<String, RouteCounters>()
    private val merged = HashMap<Origin, HashMap<String, RouteEvidence>>()

    /** The counters of all routers together, by route. */
    internal val routes: Map<String, RouteCounters> get() = totals

    /** Records the outcome of an attempt that ended at [nowMs] at this router. */
    public fun onResponse(response: RolloutResponse, nowMs: Long) {
        val slice = evidenceSlice(nowMs - orderedAtMs, order.durationMs)
        val target = response.version == order.target
        own.getOrPut(response.route, ::RouteCounters).add(response, target, slice)
        totals.getOrPut(response.route, ::RouteCounters).add(response, target, slice)
    }

    /** Returns the counters of this router's own responses. */
    public fun snapshot(): EvidenceSnapshot = EvidenceSnapshot(
        pool = order.pool,
        orderId = order.orderId,
        instance = instance,
        incarnationMs = incarnationMs,
        routes = own.map { (route, counters) -> counters.snapshot(route) },
    )

    /**
     * Takes in a peer's report. Reports on other orders, this run's own and invalid counters are ignored.
     *
     * @return whether the report contained anything new.
     */
    public fun merge(snapshot: EvidenceSnapshot): Boolean {
        val origin = Origin(snapshot.instance, snapshot.incarnationMs)
        val foreign = origin != Origin(instance, incarnationMs)
        return foreign && snapshot.pool == order.pool && snapshot.orderId == order.orderId && mergeRoutes(
            merged.getOrPut(origin, ::HashMap),
            snapshot.routes,
        )
    }

    private fun mergeRoutes(known: HashMap<String, RouteEvidence>, routes: List<RouteEvidence>): Boolean {
        var changed = false
        for (reported in routes) {
            val before = known[reported.route]
            val larger = if (before === reported) before else before?.largerOf(reported) ?: reported
            if (larger != before && reported.isValid()) {
                totals.getOrPut(reported.route, ::RouteCounters).addGrowth(before, larger)
                known[reported.route] = larger
                changed = true
            }
        }
        return changed
    }

    private data class Origin(val instance: InstanceId, val incarnationMs: Long)
}
