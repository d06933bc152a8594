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
private const val REQUESTS_PER_SLOT = 8
private const val LIMITS_PERIOD_GRANTS = 16L
private const val MEAN_COST_SMOOTHING = 0.05

/** What an allocator is told about its cell by configuration and instance list. */
public data class CellView(
    val pool: Pool,
    val homeGroup: Set<InstanceId>,
    val endpoints: Set<EndpointId>,
    val openEndpoints: Set<EndpointId>,
)

/**
 * Allocates the slots of one cell among routers for as long as routers support it.
 *
 * Slots are leased: what a router may use is bounded in time, and a slot moves to another router only when its holder
 * has acknowledged the recall and finished the request in it, or its lease has lapsed. Not thread-safe.
 *
 * @param startMs when the router's incarnation began. Nothing is lent for one support period after it, in which leases
 * of a former incarnation may still be alive.
 * @param terms the agreement's terms of a workspace.
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

    /** Takes in what configuration and instance list say about the cell. */
    public fun onView(view: CellView, nowMs: Long) {
        supporters.onHomeGroup(view.homeGroup, nowMs)
        endpointTable.onEndpoints(view, nowMs)
    }

    /** Takes in what an endpoint of the cell published about itself. */
    public fun onEndpointReport(id: EndpointId, report: EndpointReport, nowMs: Long) {
        endpointTable.onReport(id, report, holders.running(id, nowMs))
    }

    /** Takes in that nothing listens at the address of an endpoint of the cell. */
    public fun onEndpointDown(id: EndpointId, nowMs: Long) {
        endpointTable.onOutcomes(id, OutcomeReport(broken = 1), inFlight = 0, nowMs)
    }

    /**
     * Builds the report that asks the allocator of [lender], another cell of the pool, for slots.
     *
     * It tells of what waits too long here and of what this cell has served.
     *
     * @param endpoints the endpoints of [lender].
     * @param overdueMs how long a request waits before slots of other cells are asked for, in ms.
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

    /** Takes in what the allocator of another cell has lent to this one, in answer to a report sent at [sentMs]. */
    public fun onLoan(grant: CellGrant, sentMs: Long) {
        loanSequences[grant.cell] = grant.sequence
        borrowed.onLoan(grant.cell, grant.slots, sentMs + grant.leaseMs)
    }

    /**
     * Takes in the report of a router and lends it slots.
     *
     * @param tokenMs the time named by the token that the report echoed, or null for none.
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

    /** Returns what operators want to know about the cell. */
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

/** Adds the order of [workspaces], which only the routers of the home group need. */
private fun CellGrant.withOrdering(
    service: VirtualService,
    division: SlotDivision,
    workspaces: Set<WorkspaceId>,
): CellGrant = copy(
    virtualService = workspaces.associateWith { service.of(it).toLong() },
    deferred = division.deferred.filterTo(HashSet()) { it in workspaces },
)
