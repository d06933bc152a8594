package corneltrack.router

import corneltrack.world.WorkspaceId

private const val STARVED_MS = 10_000L

/**
 * Orders the workspaces of one pool at this router by the service they have had across the fleet.
 *
 * The allocator's virtual service is carried forward by what this router has started and served since. A workspace that
 * is served well elsewhere may never be due here; one whose request has waited for [STARVED_MS] goes first, once in
 * that time. What it gets so is charged, and missed elsewhere. Not thread-safe; owned by the pool's scheduler.
 */
internal class DispatchOrder(
    private val meter: ServedCostCounter,
    private val weightOf: (WorkspaceId) -> Double,
) {
    private class Base(val virtual: Double, val served: Long)

    private val bases = HashMap<WorkspaceId, Base>()
    private val startedMs = HashMap<WorkspaceId, Long>()
    private var deferred = emptySet<WorkspaceId>()

    /** Takes over the order of a home allocator. */
    fun onGrant(virtual: Map<WorkspaceId, Long>, held: Set<WorkspaceId>) {
        virtual.forEach { (workspace, value) -> bases[workspace] = Base(value.toDouble(), meter.total(workspace)) }
        deferred = held
    }

    /** Takes in that a request of [workspace] has started. */
    fun onStart(workspace: WorkspaceId, nowMs: Long) {
        startedMs[workspace] = nowMs
    }

    /**
     * Returns [workspaces] with the one that is due first at the head; those at their cap come last.
     *
     * @param oldestMs when the oldest waiting request of a workspace arrived, in ms of the router's clock.
     */
    fun sorted(workspaces: Collection<WorkspaceId>, nowMs: Long, oldestMs: (WorkspaceId) -> Long): List<WorkspaceId> {
        val starved = workspaces.filterTo(HashSet()) {
            nowMs - maxOf(oldestMs(it), startedMs[it] ?: Long.MIN_VALUE) > STARVED_MS
        }
        val floor = bases.filterKeys { it in workspaces }.values.minOfOrNull { it.virtual } ?: 0.0
        val keys = workspaces.associateWith { workspace -> bases[workspace]?.let { carried(workspace, it) } ?: floor }
        return workspaces.sortedWith(compareBy({ it !in starved }, { it in deferred }, { keys.getValue(it) }, { it }))
    }

    /** Returns the last known virtual service, for an allocator that has none yet. */
    fun virtualService(): Map<WorkspaceId, Long> = bases.mapValues { (workspace, base) -> carried(workspace, base).toLong() }

    private fun carried(workspace: WorkspaceId, base: Base): Double =
        base.virtual + (meter.total(workspace) - base.served) / weightOf(workspace)
}
