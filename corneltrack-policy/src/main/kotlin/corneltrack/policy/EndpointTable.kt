package corneltrack.policy

import corneltrack.world.EndpointId
import corneltrack.world.Pool

private const val REPORT_WINDOW = 3
private const val CONSERVATIVE_WINDOW = 2

/** Keeps, for one cell, each endpoint's limit and the load that no known router accounts for. Not thread-safe. */
internal class EndpointTable(private val times: LeaseTimes) {
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

    /** Takes over limits that a former allocator had found, where this one knows none. */
    fun seed(limits: Map<EndpointId, Int>) {
        limits.forEach { (id, limit) -> if (id !in entries) seededLimits.merge(id, limit, ::minOf) }
    }

    /** Sets the endpoints of the cell. */
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

    /** Takes in how requests ended. Returns false where [id] is no endpoint of the cell. */
    fun onOutcomes(id: EndpointId, outcomes: OutcomeReport, inFlight: Int, nowMs: Long): Boolean {
        val limit = entries[id]?.limit ?: return false
        val meanMs = outcomes.firstByteMs / outcomes.successes.coerceAtLeast(1)
        repeat(outcomes.successes) { limit.onOutcome(EndpointOutcome.SUCCESS, meanMs, inFlight, nowMs) }
        if (outcomes.refused > 0) limit.onOutcome(EndpointOutcome.REFUSED, 0, inFlight, nowMs)
        if (outcomes.broken > 0) limit.onOutcome(EndpointOutcome.BROKEN, 0, inFlight, nowMs)
        return true
    }

    /** Takes in that [known] requests on [id] belong to known routers as of the latest router's report. */
    fun onAccounted(id: EndpointId, accounted: Int) {
        entries[id]?.let { it.minimumAccounted = minOf(it.minimumAccounted, accounted) }
    }

    /**
     * Takes in what an endpoint reported, while [accounted] requests there belong to known routers.
     *
     * The report lags behind, so what is known at the moment may be newer than it.
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
     * Returns the load on [id] that persists through recent reports without a known router behind it.
     *
     * @param conservative whether a report is compared with the least that was known lately, as while a router is missing.
     */
    fun unaccounted(id: EndpointId, conservative: Boolean): Int {
        val loads = entries[id]?.let { if (conservative) it.maximumUnaccounted.takeLast(CONSERVATIVE_WINDOW) else it.unaccounted }
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
