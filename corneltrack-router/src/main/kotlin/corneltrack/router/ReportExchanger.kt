package corneltrack.router

import corneltrack.policy.CellGrant
import corneltrack.policy.ExchangeRequest
import corneltrack.policy.ExchangeResponse
import corneltrack.policy.Lease
import corneltrack.policy.LeaseTimes
import corneltrack.policy.OutcomeReport
import corneltrack.policy.WorkspaceReport
import corneltrack.world.Cell
import corneltrack.world.EndpointId
import corneltrack.world.Instance
import corneltrack.world.InstanceId
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledExecutorService

private const val ACTIVE_PERIOD_MS = 250L
private const val IDLE_PERIOD_MS = 500L
private const val URGENT_PERIOD_MS = 20L
private const val FAILURES_TO_AVOID = 2

/**
 * The state of the exchanges with one allocator.
 *
 * @property incarnation the allocator's incarnation in its last response.
 * @property token the token of the last response, which the next request echoes, or null if there is none.
 * @property failures the number of consecutive exchanges that failed.
 */
private class AllocatorLink {
    var incarnation: String? = null
    var token: String? = null
    var lastSentMs = Long.MIN_VALUE / 2
    var inFlight = false
    var failures = 0
    val cellStates = HashMap<Cell, CellReportState>()
}

/**
 * Exchanges reports and grants with the allocators of all cells to whose home group this router belongs.
 *
 * Must be used on the control thread only.
 *
 * @param exchangeLocally handles reports to allocators that run at this router.
 * @param onPeerOffset is called with the configuration offset in each response.
 */
internal class ReportExchanger(
    private val context: RouterContext,
    private val incarnation: String,
    private val times: LeaseTimes,
    private val control: ScheduledExecutorService,
    private val exchangeLocally: (ExchangeRequest) -> ExchangeResponse,
    private val onPeerOffset: (InstanceId, Long) -> Unit,
) {
    private val links = HashMap<InstanceId, AllocatorLink>()

    /** Decides to which allocators this router reports. */
    val planner = ExchangePlanner(context.settings.id, times, context.clock())

    /** Sends the reports that are due. */
    fun tick() {
        val nowMs = context.clock()
        planner.reportsByAllocator(context.views.current, nowMs)
            .forEach { (allocator, reports) -> sendIfDue(allocator, reports, nowMs) }
    }

    private fun sendIfDue(allocator: Instance, reports: List<PlannedReport>, nowMs: Long) {
        val link = links.getOrPut(allocator.id) { AllocatorLink() }
        if (link.inFlight || !isDue(link, reports, nowMs - link.lastSentMs)) {
            return
        }
        link.inFlight = true
        link.lastSentMs = nowMs
        planner.onSent(reports, nowMs)
        val request = buildRequest(link, reports, nowMs)
        val response = if (allocator.id == context.settings.id) {
            CompletableFuture.completedFuture<ExchangeResponse?>(exchangeLocally(request))
        } else {
            context.peers.exchange(allocator, request)
        }
        response.whenCompleteAsync({ result, _ -> onResponse(allocator, reports, request, result, nowMs) }, control)
    }

    /**
     * Returns whether an exchange is due, [elapsedMs] after the last one.
     *
     * It is due after [URGENT_PERIOD_MS] if there is no token of the allocator or if requests wait and the last report
     * contained none, after [ACTIVE_PERIOD_MS] if requests wait or run, and after [IDLE_PERIOD_MS] in any case.
     */
    private fun isDue(link: AllocatorLink, reports: List<PlannedReport>, elapsedMs: Long): Boolean = when {
        elapsedMs >= IDLE_PERIOD_MS -> true
        elapsedMs < URGENT_PERIOD_MS -> false
        link.token == null || reports.any { isNewlyWaiting(link, it.cell) } -> true
        else -> elapsedMs >= ACTIVE_PERIOD_MS && reports.any { isActive(it.cell) }
    }

    private fun isNewlyWaiting(link: AllocatorLink, cell: Cell): Boolean =
        context.runner.scheduler(cell.pool).waiting && link.cellStates[cell]?.waitingReported != true

    private fun isActive(cell: Cell): Boolean {
        val scheduler = context.runner.scheduler(cell.pool)
        return scheduler.waiting || scheduler.usesSlotsOf(cell)
    }

    private fun buildRequest(link: AllocatorLink, reports: List<PlannedReport>, nowMs: Long): ExchangeRequest {
        val view = context.views.current
        return ExchangeRequest(
            from = context.settings.id,
            incarnation = incarnation,
            echo = link.token,
            configurationOffset = view.configuration.offset,
            cells = reports.map { report ->
                val state = link.cellStates.getOrPut(report.cell) { CellReportState() }
                val scheduler = context.runner.scheduler(report.cell.pool)
                val outcomes = takeOutcomes(report.cell, state, nowMs)
                val served = scheduler.servedCosts.served(report.cell)
                val inputs = ReportInputs(scheduler.snapshot(nowMs), served, outcomes)
                buildCellReport(report.cell, report.supports, state, inputs)
            },
        )
    }

    /** Removes and returns the outcomes to report: periodically, or immediately if a connection broke. */
    private fun takeOutcomes(cell: Cell, state: CellReportState, nowMs: Long): Map<EndpointId, OutcomeReport> {
        val endpoints = context.views.current.fleet.endpoints.filter { it.pool == cell.pool }.map { it.id }
        val due = state.outcomesDue(nowMs) || context.runner.outcomes.hasUnreportedBreak(endpoints)
        return if (due) context.runner.outcomes.take(endpoints) else emptyMap()
    }

    private fun onResponse(
        allocator: Instance,
        reports: List<PlannedReport>,
        request: ExchangeRequest,
        response: ExchangeResponse?,
        sentMs: Long,
    ) {
        val link = links.getValue(allocator.id)
        link.inFlight = false
        if (response == null) {
            request.cells.forEach { context.runner.outcomes.restore(it.outcomes) }
            onFailure(allocator, link)
            return
        }
        link.failures = 0
        if (link.incarnation != response.incarnation) {
            link.incarnation = response.incarnation
            link.cellStates.values.forEach { it.reset() }
        } else {
            request.cells.forEach { link.cellStates.getValue(it.cell).onDelivered(it.workspaces) }
        }
        link.token = response.token
        onPeerOffset(allocator.id, response.configurationOffset)
        response.grants.forEach { grant ->
            reports.firstOrNull { it.cell == grant.cell }?.let { onGrant(it, link, grant, sentMs) }
        }
        response.releaseMs?.let { planner.onRelease(allocator.id, it, context.clock()) }
    }

    /** Counts a failed exchange. After [FAILURES_TO_AVOID] in a row the allocator is avoided. */
    private fun onFailure(allocator: Instance, link: AllocatorLink) {
        link.failures++
        if (link.failures >= FAILURES_TO_AVOID) {
            planner.avoid(allocator.id, context.clock())
            link.failures = 0
            link.token = null
        }
    }

    private fun onGrant(report: PlannedReport, link: AllocatorLink, grant: CellGrant, sentMs: Long) {
        val state = link.cellStates.getValue(grant.cell)
        val accepted = state.accept(grant)
        val leased = grant.leaseMs > 0
        if (!accepted || !leased || !planner.isSupported(grant.cell, report.allocator.id)) {
            return
        }
        val lease = Lease(grant.cell, report.allocator.id, grant.slots, sentMs + grant.leaseMs)
        val scheduler = context.runner.scheduler(grant.cell.pool)
        scheduler.onLease(lease, grant.virtualService, grant.deferred, context.clock())
        state.waitingReported = scheduler.waiting
    }
}

/** Records that a report with [workspaces] has reached the allocator. */
private fun CellReportState.onDelivered(workspaces: List<WorkspaceReport>) {
    reportedService = reportedService + workspaces.associate { it.workspace to it.served }
}
