package corneltrack.policy

import corneltrack.world.EndpointId
import corneltrack.world.Pool

private const val REPORT_WINDOW = 3
private const val CONSERVATIVE_WINDOW = 2

/**
 * Holds the limit of each endpoint of one cell, and the load of each beyond the requests of known routers.
 *
 * Not thread-safe.
 */
internal class EndpointTable(private val times: LeaseTimes) {
    /**
     * The state of one endpoint; the windows cover its latest reports.
     *
     * @property accounted the fewest requests that known routers had there at about the time of each report.
     * @property unaccounted the load of each report beyond the requests known when it arrived.
     * @property maximumUnaccounted the load of each report beyond the minimum of [accounted].
     * @property minimumAccounted the fewest requests known since the last report.
     */
    private class Entry(val pool: Pool, val limit: EndpointLimit) {
        val accounted = ArrayDeque<Int>()
        val unaccounted = ArrayDeque<Int>()
        val maximumUnaccounted = ArrayDeque<Int>()
        var open = true
        var minimumAccounted = Int.MAX_VALUE
    }

    private val entries = HashMap<EndpointId, Entry>()
    private val seededLimits = HashMap<EndpointId, Int>()

    val ids: Set<EndpointId> get() = entries.keys

    /** Adopts the limits that a previous allocator determined, for endpoints that are not in the table yet. */
    fun seed(limits: Map<EndpointId, Int>) {
        limits.forEach { (id, limit) -> if (id !in entries) seededLimits.merge(id, limit, ::minOf) }
    }

    /** Replaces the endpoints of the cell by those of [view] and keeps the state of those already in the table. */
    fun onEndpoints(view: CellView, nowMs: Long) {
        val pool = view.pool
        entries.keys.retainAll(view.endpoints)
        view.endpoints.forEach { id ->
            val known = entries[id]
            if (known == null || known.pool != pool) {
                val initial = known?.limit?.current ?: seededLimits.remove(id) ?: pool.coldLimit
                val limit =
                    EndpointLimit(pool.coldLimit, pool.endpointLimit, initial, times.reportLagMs, discoveredMs = nowMs)
                entries[id] = Entry(pool, limit)
            }
            entries.getValue(id).open = id in view.openEndpoints
        }
    }

    /** Updates the limit of [id] from the outcomes of requests. Returns false if [id] is no endpoint of the cell. */
    fun onOutcomes(id: EndpointId, outcomes: OutcomeReport, inFlight: Int, nowMs: Long): Boolean {
        val limit = entries[id]?.limit ?: return false
        val meanMs = outcomes.firstByteMs / outcomes.successes.coerceAtLeast(1)
        repeat(outcomes.successes) { limit.onOutcome(EndpointOutcome.SUCCESS, meanMs, inFlight, nowMs) }
        if (outcomes.refused > 0) limit.onOutcome(EndpointOutcome.REFUSED, 0, inFlight, nowMs)
        if (outcomes.broken > 0) limit.onOutcome(EndpointOutcome.BROKEN, 0, inFlight, nowMs)
        return true
    }

    /** Records that known routers have [accounted] requests on [id] after the latest report of a router. */
    fun onAccounted(id: EndpointId, accounted: Int) {
        entries[id]?.let { it.minimumAccounted = minOf(it.minimumAccounted, accounted) }
    }

    /**
     * Records the [report] of an endpoint on which known routers have [accounted] requests.
     *
     * The report lags behind, so [accounted] may be newer than the report.
     */
    fun onReport(id: EndpointId, report: EndpointReport, accounted: Int) {
        val entry = entries[id] ?: return
        entry.limit.onReport(report)
        entry.accounted.addToWindow(minOf(accounted, entry.minimumAccounted))
        entry.minimumAccounted = accounted
        entry.unaccounted.addToWindow(maxOf(0, report.running - accounted))
        entry.maximumUnaccounted.addToWindow(maxOf(0, report.running - entry.accounted.min()))
    }

    /**
     * Returns the load on [id] that all recent reports show beyond the requests of known routers.
     *
     * @param conservative whether reports are compared with the fewest requests known recently; used while a router of
     * the home group has no lease.
     */
    fun unaccounted(id: EndpointId, conservative: Boolean): Int {
        val loads = entries[id]?.let {
            if (conservative) it.maximumUnaccounted.takeLast(CONSERVATIVE_WINDOW) else it.unaccounted
        }
        return loads?.minOrNull() ?: 0
    }

    fun limit(id: EndpointId): Int = entries[id]?.takeIf { it.open }?.limit?.current ?: 0

    fun limits(): Map<EndpointId, Int> = entries.keys.associateWith { limit(it) }

    fun coldCount(): Int = entries.values.count { it.open && it.limit.cold }
}

private fun ArrayDeque<Int>.addToWindow(value: Int) {
    addLast(value)
    if (size > REPORT_WINDOW) {
        removeFirst()
    }
}
