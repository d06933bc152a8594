package corneltrack.router

import corneltrack.world.WorkspaceId

private const val STARVATION_TIMEOUT_MS = 10_000L

/**
 * Orders the workspaces of one pool at this router by their virtual service across the fleet.
 *
 * The allocator's virtual service is extrapolated by the cost that this router has charged since the last grant. A
 * workspace with much service in other routers could wait here forever, so a workspace whose oldest request has waited
 * for [STARVATION_TIMEOUT_MS] comes first, once in that time. The cost is charged as usual, so the workspace gets less
 * elsewhere. Not thread-safe; owned by the pool's scheduler.
 */
internal class DispatchOrder(
    private val servedCosts: ServedCostCounter,
    private val weightOf: (WorkspaceId) -> Double,
) {
    private class Baseline(val virtualService: Double, val servedCost: Long)

    private val baselines = HashMap<WorkspaceId, Baseline>()
    private val lastStartMs = HashMap<WorkspaceId, Long>()
    private var deferred = emptySet<WorkspaceId>()

    /** Updates the order from a home allocator's grant. */
    fun onGrant(virtualService: Map<WorkspaceId, Long>, deferred: Set<WorkspaceId>) {
        virtualService.forEach { (workspace, value) ->
            baselines[workspace] = Baseline(value.toDouble(), servedCosts.total(workspace))
        }
        this.deferred = deferred
    }

    /** Records that a request of [workspace] has started. */
    fun onStart(workspace: WorkspaceId, nowMs: Long) {
        lastStartMs[workspace] = nowMs
    }

    /**
     * Returns [workspaces] in the order in which to serve them; those at their cap come last.
     *
     * @param oldestArrivalMs when the oldest waiting request of a workspace arrived, in ms of the router's clock.
     */
    fun sorted(
        workspaces: Collection<WorkspaceId>,
        nowMs: Long,
        oldestArrivalMs: (WorkspaceId) -> Long,
    ): List<WorkspaceId> {
        val starved = workspaces.filterTo(HashSet()) {
            nowMs - maxOf(oldestArrivalMs(it), lastStartMs[it] ?: Long.MIN_VALUE) > STARVATION_TIMEOUT_MS
        }
        val minimum = baselines.filterKeys { it in workspaces }.values.minOfOrNull { it.virtualService } ?: 0.0
        val current = workspaces.associateWith { workspace ->
            baselines[workspace]?.let { extrapolate(workspace, it) } ?: minimum
        }
        return workspaces.sortedWith(
            compareBy({ it !in starved }, { it in deferred }, { current.getValue(it) }, { it })
        )
    }

    /** Returns the extrapolated virtual service of each workspace, to initialize a new allocator. */
    fun virtualService(): Map<WorkspaceId, Long> =
        baselines.mapValues { (workspace, baseline) -> extrapolate(workspace, baseline).toLong() }

    private fun extrapolate(workspace: WorkspaceId, baseline: Baseline): Double =
        baseline.virtualService + (servedCosts.total(workspace) - baseline.servedCost) / weightOf(workspace)
}
