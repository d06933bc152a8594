package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.CellStatus
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.Pool
import corneltrack.world.Terms
import corneltrack.world.WorkspaceId

private const val INITIAL_MEAN_COST = 100.0
private const val DIVISION_PERIOD_MS = 100L

/** The number of requests of mean cost that one slot serves per unit of virtual service; see [divideSlots]. */
private const val REQUESTS_PER_SLOT = 8

/** Endpoint limits are sent with one in this many grants. */
private const val LIMITS_PERIOD_GRANTS = 16L
private const val MEAN_COST_SMOOTHING = 0.05

/**
 * Describes a cell as configuration and instance list define it.
 *
 * @property homeGroup the routers whose support the cell's allocator needs.
 * @property endpoints all endpoints of the cell.
 * @property openEndpoints the endpoints that may receive new requests.
 */
public data class CellView(
    val pool: Pool,
    val homeGroup: Set<InstanceId>,
    val endpoints: Set<EndpointId>,
    val openEndpoints: Set<EndpointId>,
)

/**
 * Allocates the slots of one cell to routers, as far as the routers of the cell's home group support it.
 *
 * Slots are leased for a limited time. A slot moves to another router only after its holder has acknowledged the recall
 * and finished the request in it, or after the holder's lease has expired. Not thread-safe.
 *
 * @param startMs when this router's incarnation started, in ms of the router's clock. Nothing is lent for one support
 * period after it, because leases of the previous incarnation may still be valid.
 * @param terms returns the terms of a workspace under the agreement.
 */
public class CellAllocator(
    private val cell: Cell,
    private val times: LeaseTimes,
    startMs: Long,
    private val terms: (WorkspaceId) -> Terms,
) {
    private val supporters = Supporters(times)
    private val holders = SlotHolders(times)
    private val endpointTable = EndpointTable(times)
    private val borrowed = BorrowedSlots()
    private val loanSequences = HashMap<Cell, Long>()
    private val capacity = CellCapacity(times, supporters, holders, endpointTable, borrowed)
    private val lendingStartsMs = startMs + times.supportMs
    private val virtualService = VirtualService { terms(it).weight }
    private var sequence = 0L
    private var lastDivisionMs = Long.MIN_VALUE / 2
    private var meanCost = INITIAL_MEAN_COST
    private var division = SlotDivision(emptyMap(), emptySet(), 0)

    /** Updates the home group and the endpoints of the cell from [view]. */
    public fun onView(view: CellView, nowMs: Long) {
        supporters.onHomeGroup(view.homeGroup, nowMs)
        endpointTable.onEndpoints(view, nowMs)
    }

    /** Updates the state of an endpoint of the cell from its own [report]. */
    public fun onEndpointReport(id: EndpointId, report: EndpointReport, nowMs: Long) {
        endpointTable.onReport(id, report, holders.running(id, nowMs))
    }

    /** Records that an endpoint of the cell refuses connections, which counts as a broken connection. */
    public fun onEndpointDown(id: EndpointId, nowMs: Long) {
        endpointTable.onOutcomes(id, OutcomeReport(broken = 1), inFlight = 0, nowMs)
    }

    /**
     * Builds the report that requests slots from the allocator of [lender], another cell of the same pool.
     *
     * It contains the overdue requests of this cell and the cost that this cell has served.
     *
     * @param endpoints the endpoints of [lender].
     * @param overdueMs how long a request waits before slots are borrowed from other cells, in ms.
     */
    public fun borrowReport(lender: Cell, endpoints: Set<EndpointId>, overdueMs: Long): CellReport {
        val held = endpoints.associateWith { holders.committed(it) }.filterValues { it > 0 }
        return CellReport(
            cell = lender,
            borrower = cell,
            acknowledged = loanSequences[lender] ?: 0,
            running = held,
            workspaces = holders.overdueReports(overdueMs, held.values.sum(), virtualService.localCosts()),
            outcomes = borrowed.drainOutcomes(endpoints),
        )
    }

    /** Records the slots that another cell lent to this one in response to the report sent at [sentMs]. */
    public fun onLoan(grant: CellGrant, sentMs: Long) {
        loanSequences[grant.cell] = grant.sequence
        borrowed.onLoan(grant.cell, grant.slots, sentMs + grant.leaseMs)
    }

    /**
     * Records the [report] of a router, or of another cell's allocator, and returns the slots lent to it.
     *
     * Divides the slots again if [DIVISION_PERIOD_MS] has passed since the last division or if the sender has no grant
     * yet.
     *
     * @param tokenMs the time of the token that the report echoed, in ms of this router's clock, or null without token.
     */
    public fun exchange(
        from: InstanceId,
        incarnation: String,
        tokenMs: Long?,
        report: CellReport,
        nowMs: Long,
    ): CellGrant {
        if (report.supports && tokenMs != null) {
            supporters.onSupport(from, tokenMs)
        }
        if (report.meanCost > 0) {
            meanCost += MEAN_COST_SMOOTHING * (report.meanCost - meanCost)
        }
        virtualService.seed(report.virtualService)
        endpointTable.seed(report.limits)
        val holder = holders.of(from, incarnation)
        holder.onReport(report, nowMs)
        val totals = report.workspaces.associate { it.workspace to it.served }
        if (report.borrower == null) {
            virtualService.chargeLocal(holder.origin, totals, complete = report.acknowledged == 0L)
        } else {
            virtualService.chargeRemote(report.borrower, holder.origin, totals, nowMs)
        }
        report.outcomes.forEach { (id, outcomes) ->
            if (!endpointTable.onOutcomes(id, outcomes, inFlight(id) + outcomes.successes, nowMs)) {
                borrowed.onOutcomes(id, outcomes)
            }
        }
        endpointTable.ids.forEach { endpointTable.onAccounted(it, holders.running(it, nowMs)) }
        holders.expire(nowMs).forEach { virtualService.removeOrigin(it) }
        if (nowMs - lastDivisionMs >= DIVISION_PERIOD_MS || holder.sequence == 0L) {
            updateDivision(nowMs)
        }
        return grant(holder, nowMs)
    }

    /** Returns the state of the cell that is shown to operators. */
    public fun status(nowMs: Long): CellStatus {
        val reports = holders.all.flatMap { it.workspaces.values }
        return CellStatus(
            cell = cell,
            supporters = supporters.supporting(nowMs).size,
            listed = supporters.listedCount(nowMs),
            limits = endpointTable.limits(),
            usable = capacity.usable(nowMs),
            borrowed = borrowed.endpoints(nowMs).sumOf { borrowed.usable(it, nowMs) },
            lent = holders.all.filter { it.local }.sumOf { it.held },
            lentAway = holders.all.filterNot { it.local }.sumOf { it.held },
            running = reports.sumOf { it.running },
            waiting = reports.sumOf { it.waiting },
            cold = endpointTable.coldCount(),
        )
    }

    private fun updateDivision(nowMs: Long) {
        lastDivisionMs = nowMs
        val demands = holders.all.flatMap { it.demands() }
        val backlogged = demands.filter { it.waiting > 0 }.mapTo(HashSet()) { it.workspace }
        virtualService.extrapolateRemote(nowMs)
        virtualService.advance(backlogged)
        val slots = capacity.usable(nowMs)
        val costPerSlot = meanCost * REQUESTS_PER_SLOT
        division = divideSlots(
            slots,
            demands,
            { virtualService.of(it) / costPerSlot },
            terms,
            holders.runningInOtherCells(),
        )
        holders.all.forEach { it.onDivision(division.targets[it.id] ?: 0) }
    }

    private fun grant(holder: SlotHolder, nowMs: Long): CellGrant {
        val lease = if (nowMs < lendingStartsMs) 0 else capacity.leaseMs(holder, nowMs)
        val target = if (lease > 0) capacity.target(holder, division.spare, nowMs) else 0
        val slots = capacity.chooseSlots(holder, target, nowMs)
        sequence++
        holder.onGrant(slots, sequence, nowMs + lease)
        val grant = CellGrant(cell, sequence, slots, lease)
        val limits = if (sequence % LIMITS_PERIOD_GRANTS == 1L) endpointTable.limits() else emptyMap()
        return if (holder.local) {
            grant.withOrdering(
                virtualService,
                division,
                holder.workspaces.keys
            ).copy(limits = limits)
        } else {
            grant
        }
    }

    private fun inFlight(id: EndpointId): Int = holders.all.sumOf { it.running[id] ?: 0 }
}

/** Adds what a router of the home group needs to order the queued requests of [workspaces]. */
private fun CellGrant.withOrdering(
    service: VirtualService,
    division: SlotDivision,
    workspaces: Set<WorkspaceId>,
): CellGrant = copy(
    virtualService = workspaces.associateWith { service.of(it).toLong() },
    deferred = division.deferred.filterTo(HashSet()) { it in workspaces },
)
