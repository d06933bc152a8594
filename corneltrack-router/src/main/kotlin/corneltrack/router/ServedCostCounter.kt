package corneltrack.router

import corneltrack.world.Cell
import corneltrack.world.WorkspaceId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Counts the cost served by cell and workspace since this incarnation started. Thread-safe and lock-free. */
internal class ServedCostCounter {
    private val cells = ConcurrentHashMap<Cell, ConcurrentHashMap<WorkspaceId, AtomicLong>>()
    private val totals = ConcurrentHashMap<WorkspaceId, AtomicLong>()

    fun add(cell: Cell, workspace: WorkspaceId, cost: Long) {
        val byWorkspace = cells.computeIfAbsent(cell) { ConcurrentHashMap() }
        byWorkspace.computeIfAbsent(workspace) { AtomicLong() }.addAndGet(cost)
        totals.computeIfAbsent(workspace) { AtomicLong() }.addAndGet(cost)
    }

    /** Returns the cost served for [workspace] in all cells. */
    fun total(workspace: WorkspaceId): Long = totals[workspace]?.get() ?: 0

    /** Returns the cost served in [cell], by workspace. */
    fun served(cell: Cell): Map<WorkspaceId, Long> = cells[cell].orEmpty().mapValues { it.value.get() }

    /** Returns the workspaces that have been served. */
    fun workspaces(): Set<WorkspaceId> = totals.keys
}
