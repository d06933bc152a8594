package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.WorkspaceId

/**
 * Counts, per workspace, the cost served divided by weight, as the order in which workspaces are due.
 *
 * Totals come from many origins as cumulative sums, so that a repeated message changes nothing. They include the
 * estimated cost of running requests, and fall where an estimate proves too high. A workspace that does not wait is
 * raised to the least served one that does: idle time earns no credit. Not thread-safe.
 *
 * @param weightOf the weight of a workspace under the agreement.
 */
public class VirtualService(private val weightOf: (WorkspaceId) -> Double) {
    private val serviceByWorkspace = HashMap<WorkspaceId, Double>()
    private val totalsByOrigin = HashMap<String, HashMap<WorkspaceId, Long>>()
    private val remote = RemoteCostTracker()
    private val localCosts = HashMap<WorkspaceId, Long>()

    /** Returns the virtual service of [workspace]. */
    public fun of(workspace: WorkspaceId): Double = serviceByWorkspace[workspace] ?: 0.0

    /** Returns the cost served in this cell by workspace. */
    public fun localCosts(): Map<WorkspaceId, Long> = localCosts.toMap()

    /** Takes over the order known to others where it is ahead of this one. */
    public fun seed(known: Map<WorkspaceId, Long>) {
        known.forEach { (workspace, value) -> serviceByWorkspace.merge(workspace, value.toDouble(), ::maxOf) }
    }

    /**
     * Adds what [origin] of this cell has served beyond its last known [totals].
     *
     * The first [complete] totals of an origin set its baseline: what it served before is part of the seeded order.
     */
    public fun chargeLocal(origin: String, totals: Map<WorkspaceId, Long>, complete: Boolean) {
        if (!complete && origin !in totalsByOrigin) {
            return
        }
        charge(origin, totals).forEach { (workspace, added) -> localCosts.merge(workspace, added, Long::plus) }
    }

    /** Adds what [cell], whose allocator's incarnation is named by [origin], served beyond its last known [totals]. */
    public fun chargeRemote(cell: Cell, origin: String, totals: Map<WorkspaceId, Long>, nowMs: Long) {
        add(remote.onReport(cell, origin, totals, nowMs))
    }

    /** Adds what cells that have fallen silent are assumed to serve. */
    public fun extrapolateRemote(nowMs: Long): Unit = add(remote.extrapolate(nowMs))

    private fun add(costs: Map<WorkspaceId, Double>) =
        costs.forEach { (workspace, cost) -> serviceByWorkspace.merge(workspace, cost / weightOf(workspace), Double::plus) }

    /** Forgets an origin that is gone. */
    public fun removeOrigin(origin: String) {
        totalsByOrigin.remove(origin)
    }

    /** Raises every workspace outside [backlogged] to the least served one inside it. */
    public fun advance(backlogged: Set<WorkspaceId>) {
        val floor = backlogged.mapNotNull { serviceByWorkspace[it] }.minOrNull() ?: return
        backlogged.forEach { serviceByWorkspace.putIfAbsent(it, floor) }
        serviceByWorkspace.replaceAll { workspace, value -> if (workspace in backlogged) value else maxOf(value, floor) }
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
                serviceByWorkspace.merge(workspace, (total - before) / weightOf(workspace), Double::plus)
            }
        }
        return added
    }
}
