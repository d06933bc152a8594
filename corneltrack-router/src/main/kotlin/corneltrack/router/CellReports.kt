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
internal class CellReportState {
    var acknowledged = 0L
    var limits: Map<EndpointId, Int> = emptyMap()
    var reportedService: Map<WorkspaceId, Long> = emptyMap()
    var waitingReported = false
    private var lastOutcomesMs = Long.MIN_VALUE / 2

    /** Returns whether the next report should tell how requests ended; that need not be in every one. */
    fun outcomesDue(nowMs: Long): Boolean {
        val due = nowMs - lastOutcomesMs >= OUTCOMES_PERIOD_MS
        if (due) {
            lastOutcomesMs = nowMs
        }
        return due
    }

    /** Takes in a grant. Returns false where a new term of the allocator has begun, which must first be told all. */
    fun accept(grant: CellGrant): Boolean {
        val accepted = grant.sequence > acknowledged
        if (accepted) {
            acknowledged = grant.sequence
            limits = grant.limits.ifEmpty { limits }
        } else {
            reset()
        }
        return accepted
    }

    /** Forgets what the former allocator knew, so that the next report tells everything. */
    fun reset() {
        acknowledged = 0
        reportedService = emptyMap()
    }
}

/**
 * Builds the report on [cell].
 *
 * @param supports whether the report carries support.
 */
internal fun buildCellReport(
    cell: Cell,
    supports: Boolean,
    state: CellReportState,
    inputs: ReportInputs,
): CellReport {
    val snapshot = inputs.snapshot
    val waiting = snapshot.waiting
    val slotsInUse = snapshot.slotsInUse[cell] ?: SlotsInUse()
    val running = slotsInUse.workspaces
    val served = inputs.served
    val changed = served.filter { (workspace, total) -> state.reportedService[workspace] != total }.keys
    val workspaces = (waiting.keys + running.keys + changed).map { workspace ->
        WorkspaceReport(
            workspace = workspace,
            waiting = waiting[workspace]?.count ?: 0,
            running = running[workspace] ?: 0,
            served = served[workspace] ?: 0,
            oldestWaitMs = waiting[workspace]?.oldestWaitMs ?: 0,
        )
    }
    val fullReport = state.acknowledged == 0L
    state.waitingReported = waiting.isNotEmpty()
    return CellReport(
        cell = cell,
        supports = supports,
        acknowledged = state.acknowledged,
        running = slotsInUse.endpoints.toMap(),
        workspaces = workspaces,
        outcomes = inputs.outcomes,
        virtualService = if (fullReport) snapshot.virtualService else emptyMap(),
        limits = if (fullReport) state.limits else emptyMap(),
        meanCost = snapshot.meanCost,
    )
}

/** Holds what a report on one cell is made of. */
internal class ReportInputs(
    val snapshot: PoolSnapshot,
    val served: Map<WorkspaceId, Long>,
    val outcomes: Map<EndpointId, OutcomeReport>,
)
