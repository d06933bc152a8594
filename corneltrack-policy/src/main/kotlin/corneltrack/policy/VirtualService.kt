package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.WorkspaceId

/**
 * Computes the virtual service of each workspace: the cost served divided by its weight.
 *
 * Workspaces are served in the order of their virtual service, lowest first. Each origin, a router or allocator
 * incarnation, reports cumulative totals, so a repeated message has no effect. Totals include the estimated cost of
 * running requests and decrease if an estimate was too high. The virtual service of a workspace without waiting
 * requests is raised to the minimum of those with waiting requests, so that idle time earns no credit. Not thread-safe.
 *
 * @param weightOf returns the weight of a workspace under the agreement.
 */
public class VirtualService(private val weightOf: (WorkspaceId) -> Double) {
    private val values = HashMap<WorkspaceId, Double>()
    private val totalsByOrigin = HashMap<String, HashMap<WorkspaceId, Long>>()
    private val remote = RemoteCostTracker()
    private val localCosts = HashMap<WorkspaceId, Long>()

    /** Returns the virtual service of [workspace]. */
    public fun of(workspace: WorkspaceId): Double = values[workspace] ?: 0.0

    /** Returns the cost that this cell has served for each workspace. */
    public fun localCosts(): Map<WorkspaceId, Long> = localCosts.toMap()

    /**
     * Raises the virtual service of each workspace to the value [known] to a router, if that is higher.
     *
     * A new allocator thus takes over the values that the previous one sent to the routers.
     */
    public fun seed(known: Map<WorkspaceId, Long>) {
        known.forEach { (workspace, value) -> values.merge(workspace, value.toDouble(), ::maxOf) }
    }

    /**
     * Adds the cost that [origin] of this cell has served since its last reported totals.
     *
     * The first [complete] totals of an origin only set its baseline, since the cost that it served before is included
     * in the seeded values. Incomplete totals of an unknown origin are ignored.
     *
     * @param origin the router incarnation that the [totals] belong to.
     * @param complete whether [totals] contain each workspace that [origin] has served, not only those that changed.
     */
    public fun chargeLocal(origin: String, totals: Map<WorkspaceId, Long>, complete: Boolean) {
        if (!complete && origin !in totalsByOrigin) {
            return
        }
        charge(origin, totals).forEach { (workspace, added) -> localCosts.merge(workspace, added, Long::plus) }
    }

    /**
     * Adds the cost that [cell] has served since its last reported totals.
     *
     * @param origin the allocator incarnation that the [totals] belong to.
     */
    public fun chargeRemote(cell: Cell, origin: String, totals: Map<WorkspaceId, Long>, nowMs: Long) {
        add(remote.onReport(cell, origin, totals, nowMs))
    }

    /** Adds the cost extrapolated for cells that send no reports. */
    public fun extrapolateRemote(nowMs: Long): Unit = add(remote.extrapolate(nowMs))

    private fun add(costs: Map<WorkspaceId, Double>) =
        costs.forEach { (workspace, cost) -> values.merge(workspace, cost / weightOf(workspace), Double::plus) }

    /** Removes the totals of an origin that has expired. */
    public fun removeOrigin(origin: String) {
        totalsByOrigin.remove(origin)
    }

    /** Raises the virtual service of each workspace outside [backlogged] to the minimum of those in it. */
    public fun advance(backlogged: Set<WorkspaceId>) {
        val floor = backlogged.mapNotNull { values[it] }.minOrNull() ?: return
        backlogged.forEach { values.putIfAbsent(it, floor) }
        values.replaceAll { workspace, value -> if (workspace in backlogged) value else maxOf(value, floor) }
    }

    private fun charge(origin: String, totals: Map<WorkspaceId, Long>): Map<WorkspaceId, Long> {
        val known = totalsByOrigin[origin]
        if (known == null) {
            totalsByOrigin[origin] = HashMap(totals)
            return emptyMap()
        }
        val added = HashMap<WorkspaceId, Long>()
        totals.forEach { (workspace, total) ->
            val before = known[workspace] ?: 0L
            if (total != before) {
                known[workspace] = total
                added[workspace] = total - before
                values.merge(workspace, (total - before) / weightOf(workspace), Double::plus)
            }
        }
        return added
    }
}
