package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.WorkspaceId

private const val REPORT_TIMEOUT_MS = 4_000L
private const val MAXIMUM_OUTAGE_MS = 600_000L
private const val RATE_SMOOTHING = 0.3

/**
 * Tracks the cost that the other cells of a pool serve.
 *
 * While a cell sends no reports, for example in a network partition, the cost that it serves is extrapolated from its
 * last rates. Otherwise a workspace with requests on both sides would get a full share on each. Extrapolation stops
 * after [MAXIMUM_OUTAGE_MS]. The next report replaces the extrapolated cost. Not thread-safe.
 */
internal class RemoteCostTracker {
    private class Source(val origin: String, var lastReportMs: Long) {
        val totals = HashMap<WorkspaceId, Long>()
        val rates = HashMap<WorkspaceId, Double>()
        val extrapolated = HashMap<WorkspaceId, Double>()
        var extrapolatedUntilMs = lastReportMs
    }

    private val sources = HashMap<Cell, Source>()

    /**
     * Records the cumulative [totals] that [cell] reports.
     *
     * The first report of a cell, and of each new [origin], only sets the baseline.
     *
     * @param origin the allocator incarnation that the totals belong to.
     * @return the cost to add for each workspace; negative where too much was extrapolated.
     */
    fun onReport(cell: Cell, origin: String, totals: Map<WorkspaceId, Long>, nowMs: Long): Map<WorkspaceId, Double> {
        val source = sources[cell]?.takeIf { it.origin == origin }
        if (source == null) {
            sources[cell] = Source(origin, nowMs).also { it.totals += totals }
            return emptyMap()
        }
        val added = HashMap<WorkspaceId, Double>()
        source.extrapolated.forEach { (workspace, cost) -> added[workspace] = -cost }
        totals.forEach { (workspace, total) ->
            val served = (total - (source.totals.put(workspace, total) ?: 0L)).toDouble()
            added.merge(workspace, served, Double::plus)
            source.updateRate(workspace, served, nowMs)
        }
        source.extrapolated.clear()
        source.lastReportMs = nowMs
        source.extrapolatedUntilMs = nowMs
        return added
    }

    /** Returns the cost to add for unresponsive cells, extrapolated since the last call. */
    fun extrapolate(nowMs: Long): Map<WorkspaceId, Double> {
        val added = HashMap<WorkspaceId, Double>()
        sources.values.filter { nowMs - it.lastReportMs in REPORT_TIMEOUT_MS..MAXIMUM_OUTAGE_MS }.forEach { source ->
            source.rates.forEach { (workspace, rate) ->
                val cost = rate * (nowMs - source.extrapolatedUntilMs)
                source.extrapolated.merge(workspace, cost, Double::plus)
                added.merge(workspace, cost, Double::plus)
            }
            source.extrapolatedUntilMs = nowMs
        }
        return added
    }

    private fun Source.updateRate(workspace: WorkspaceId, served: Double, nowMs: Long) {
        val elapsedMs = nowMs - lastReportMs
        if (elapsedMs > 0) {
            rates.merge(workspace, served / elapsedMs) { rate, latest -> rate + RATE_SMOOTHING * (latest - rate) }
        }
    }
}
