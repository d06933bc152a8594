package corneltrack.router

import corneltrack.world.WorkspaceId

/**
 * Orders the workspaces of one pool at this router by the service they have had across the fleet.
 *
 * The allocator's virtual service is carried forward by what this router has started and served
 * since. Not thread-safe; owned by
 * the pool's scheduler.
 */
internal class DispatchOrder(
    private val meter: ServiceMeter,
    private val weightOf: (WorkspaceId) -> Double,
) {
    private class Base(val virtual: Double, val served: Long)

    private val bases = HashMap<WorkspaceId, Base>()
    private var deferred = emptySet<WorkspaceId>()

    /** Takes over the order of a home allocator. */
    fun onGrant(virtual: Map<WorkspaceId, Long>, held: Set<WorkspaceId>) {
        virtual.forEach { (workspace, value) -> bases[workspace] = Base(value.toDouble(), meter.total(workspace)) }
        deferred = held
    }

    /** Returns [workspaces] with the one that is due first at the head; those at their cap come last. */
    fun sorted(workspaces: Collection<WorkspaceId>): List<WorkspaceId> {
        val floor = bases.filterKeys { it in workspaces }.values.minOfOrNull { it.virtual } ?: 0.0
        val keys = workspaces.associateWith { workspace -> bases[workspace]?.let { carried(workspace, it) } ?: floor }
        return workspaces.sortedWith(compareBy({ it in deferred }, { keys.getValue(it) }, { it }))
    }

    /** Returns the last known virtual service, for an allocator that has none yet. */
    fun known(): Map<WorkspaceId, Long> = bases.mapValues { (workspace, base) -> carried(workspace, base).toLong() }

    private fun carried(workspace: WorkspaceId, base: Base): Double =
        base.virtual + (meter.total(workspace) - base.served) / weightOf(workspace)
}
