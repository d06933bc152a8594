package corneltrack.router

import corneltrack.policy.CellGrant
import corneltrack.policy.CellReport
import corneltrack.policy.OutcomeReport
import corneltrack.policy.WorkspaceReport
import corneltrack.world.Cell
import corneltrack.world.EndpointId
import corneltrack.world.WorkspaceId

private const val OUTCOMES_PERIOD_MS = 600L

/** What this router remembers of its exchanges about one cell. */
internal class CellMemory {
    var acknowledged = 0L
    var limits: Map<EndpointId, Int> = emptyMap()
    var servedSent: Map<WorkspaceId, Long> = emptyMap()
    var waitingSent = false
    private var outcomesMs = Long.MIN_VALUE / 2

    /** Returns whether the next report should tell how requests ended; that need not be in every one. */
    fun outcomesDue(nowMs: Long): Boolean {
        val due = nowMs - outcomesMs >= OUTCOMES_PERIOD_MS
        if (due) {
            outcomesMs = nowMs
        }
        return due
    }

    /** Takes in a grant. Returns false where a new term of the allocator has begun, which must first be told all. */
    fun accept(grant: CellGrant): Boolean {
        val current = grant.sequence > acknowledged
        if (current) {
            acknowledged = grant.sequence
            limits = grant.limits.ifEmpty { limits }
        } else {
            restart()
        }
        return current
    }

    /** Forgets what the former allocator knew, so that the next report tells everything. */
    fun restart() {
        acknowledged = 0
        servedSent = emptyMap()
    }
}

/**
 * Builds the report on [cell].
 *
 * @param supports whether the report carries support.
 */
internal fun cellReport(
    cell: Cell,
    supports: Boolean,
    memory: CellMemory,
    sources: ReportSources,
): CellReport {
    val snapshot = sources.snapshot
    val waiting = snapshot.waiting
    val held = snapshot.slotsInUse[cell] ?: SlotsInUse()
    val running = held.workspaces
    val served = sources.served
    val changed = served.filter { (workspace, total) -> memory.servedSent[workspace] != total }.keys
    val workspaces = (waiting.keys + running.keys + changed).map { workspace ->
        WorkspaceReport(
            workspace = workspace,
            waiting = waiting[workspace]?.count ?: 0,
            running = running[workspace] ?: 0,
            served = served[workspace] ?: 0,
            oldestWaitMs = waiting[workspace]?.oldestWaitMs ?: 0,
        )
    }
    val first = memory.acknowledged == 0L
    memory.waitingSent = waiting.isNotEmpty()
    return CellReport(
        cell = cell,
        supports = supports,
        acknowledged = memory.acknowledged,
        running = held.endpoints.toMap(),
        workspaces = workspaces,
        outcomes = sources.outcomes,
        virtualService = if (first) snapshot.virtualService else emptyMap(),
        limits = if (first) memory.limits else emptyMap(),
        meanCost = snapshot.meanCost,
    )
}

/** Holds what a report on one cell is made of. */
internal class ReportSources(
    val snapshot: PoolSnapshot,
    val served: Map<WorkspaceId, Long>,
    val outcomes: Map<EndpointId, OutcomeReport>,
)
