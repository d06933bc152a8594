package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.WorkspaceId

private const val REPORT_TIMEOUT_MS = 4_000L
private const val MAXIMUM_EXTRAPOLATION_MS = 600_000L
private const val RATE_SMOOTHING = 0.3

/**
 * Follows the cost that other cells of a pool serve.
 *
 * While a cell is silent, as when its region is cut off, it is assumed to go on serving at its last known rates, so
 * that a workspace with requests on both sides does not get a full share on each. Its next report replaces the
 * assumption. Not thread-safe.
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
     * Takes in the cumulative [totals] that [cell] reports.
     *
     * A first report, and the first one of another [origin], only sets the baseline.
     *
     * @return the cost to add for each workspace; negative where too much had been assumed.
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

    /** Returns the cost to add for what silent cells are assumed to have served since the last call. */
    fun extrapolate(nowMs: Long): Map<WorkspaceId, Double> {
        val added = HashMap<WorkspaceId, Double>()
        sources.values.filter { nowMs - it.lastReportMs in REPORT_TIMEOUT_MS..MAXIMUM_EXTRAPOLATION_MS }.forEach { source ->
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
