package corneltrack.router

import corneltrack.policy.CellGrant
import corneltrack.policy.CellReport
import corneltrack.policy.OutcomeReport
import corneltrack.policy.WorkspaceReport
import corneltrack.world.Cell
import corneltrack.world.EndpointId
import corneltrack.world.WorkspaceId

private const val OUTCOMES_PERIOD_MS = 600L

/**
 * The state of this router's exchanges with one allocator about one cell.
 *
 * @property acknowledged the sequence number of the last grant, or 0 if the next report must be a full report.
 * @property limits the endpoint limits of the last grant that contained any.
 * @property reportedService the served cost by workspace that has reached the allocator.
 * @property waitingReported whether the last report contained waiting requests.
 */
internal class CellReportState {
    var acknowledged = 0L
    var limits: Map<EndpointId, Int> = emptyMap()
    var reportedService: Map<WorkspaceId, Long> = emptyMap()
    var waitingReported = false
    private var lastOutcomesMs = Long.MIN_VALUE / 2

    /** Returns whether the next report must contain outcomes, and if so starts the next [OUTCOMES_PERIOD_MS]. */
    fun outcomesDue(nowMs: Long): Boolean {
        val due = nowMs - lastOutcomesMs >= OUTCOMES_PERIOD_MS
        if (due) {
            lastOutcomesMs = nowMs
        }
        return due
    }

    /**
     * Records a grant.
     *
     * A sequence number that is not greater than the last one belongs to an allocator that has lost its state. The
     * grant is then ignored, and the next report is a full report.
     *
     * @return whether the grant was accepted.
     */
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

    /** Makes the next report a full report, because the allocator knows nothing of earlier reports. */
    fun reset() {
        acknowledged = 0
        reportedService = emptyMap()
    }
}

/**
 * Builds the report on [cell] and records in [state] whether it contains waiting requests.
 *
 * A workspace is left out if no request of it waits or runs and its served cost has been reported.
 *
 * @param supports whether this router supports the receiver as the allocator of [cell].
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

/**
 * The inputs of a report on one cell.
 *
 * @property served the cost served in the cell by workspace.
 * @property outcomes the outcomes of attempts by endpoint that have not been reported yet.
 */
internal class ReportInputs(
    val snapshot: PoolSnapshot,
    val served: Map<WorkspaceId, Long>,
    val outcomes: Map<EndpointId, OutcomeReport>,
)
