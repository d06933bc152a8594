package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.WorkspaceId

private const val SILENCE_MS = 4_000L
private const val ASSUMPTION_LIMIT_MS = 600_000L
private const val RATE_WEIGHT = 0.3

/**
 * Follows the cost that other cells of a pool serve.
 *
 * While a cell is silent, as when its region is cut off, it is assumed to go on serving at its last known rates, so
 * that a workspace with requests on both sides does not get a full share on each. Its next report replaces the
 * assumption. Not thread-safe.
 */
internal class RemoteService {
    private class Source(val origin: String, var heardMs: Long) {
        val totals = HashMap<WorkspaceId, Long>()
        val rates = HashMap<WorkspaceId, Double>()
        val assumed = HashMap<WorkspaceId, Double>()
        var assumedMs = heardMs
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
        source.assumed.forEach { (workspace, cost) -> added[workspace] = -cost }
        totals.forEach { (workspace, total) ->
            val served = (total - (source.totals.put(workspace, total) ?: 0L)).toDouble()
            added.merge(workspace, served, Double::plus)
            source.learn(workspace, served, nowMs)
        }
        source.assumed.clear()
        source.heardMs = nowMs
        source.assumedMs = nowMs
        return added
    }

    /** Returns the cost to add for what silent cells are assumed to have served since the last call. */
    fun assume(nowMs: Long): Map<WorkspaceId, Double> {
        val added = HashMap<WorkspaceId, Double>()
        sources.values.filter { nowMs - it.heardMs in SILENCE_MS..ASSUMPTION_LIMIT_MS }.forEach { source ->
            source.rates.forEach { (workspace, rate) ->
                val cost = rate * (nowMs - source.assumedMs)
                source.assumed.merge(workspace, cost, Double::plus)
                added.merge(workspace, cost, Double::plus)
            }
            source.assumedMs = nowMs
        }
        return added
    }

    private fun Source.learn(workspace: WorkspaceId, served: Double, nowMs: Long) {
        val elapsedMs = nowMs - heardMs
        if (elapsedMs > 0) {
            rates.merge(workspace, served / elapsedMs) { rate, latest -> rate + RATE_WEIGHT * (latest - rate) }
        }
    }
}
