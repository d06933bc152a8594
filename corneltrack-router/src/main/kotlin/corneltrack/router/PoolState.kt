package corneltrack.router

import corneltrack.policy.CostEstimator
import corneltrack.policy.FairQueue
import corneltrack.policy.Lease
import corneltrack.policy.SlotTable
import corneltrack.world.Cell
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.WorkspaceId

private const val INITIAL_COST = 100.0
private const val MEAN_COST_SMOOTHING = 0.1

/**
 * A request that has been given a slot.
 *
 * @property lender the cell whose allocator lent the slot.
 * @property costTracker has charged the estimated cost.
 */
internal class DispatchedRequest(
    val request: RoutedRequest,
    val endpoint: Endpoint,
    val lender: Cell,
    val costTracker: AttemptCostTracker,
)

/** The queue, slots and costs of one pool at this router. Not thread-safe; guarded by the pool's scheduler. */
internal class PoolState(
    private val views: RouterViews,
    private val spillAfterMs: Long,
    private val chooser: EndpointChooser,
    private val servedCosts: ServedCostCounter,
) {
    private val estimator = CostEstimator<WorkspaceId>(INITIAL_COST)
    private val slotsInUse = HashMap<Cell, SlotsInUse>()
    private val dispatchOrder = DispatchOrder(servedCosts) {
        views.current.configuration.agreement.termsFor(it).weight
    }
    val queue = FairQueue<RoutedRequest>()
    val slots = SlotTable()

    private var meanCost = 0.0

    /**
     * Queues [request], at the head of its workspace's queue if it was attempted before.
     *
     * @return false if its workspace already has [limit] requests waiting, which does not apply to retries.
     */
    fun enqueue(request: RoutedRequest, limit: Int): Boolean =
        if (request.attempts == 0) queue.offer(request, limit) else true.also { queue.requeue(request) }

    /** Updates the slots and the order from a grant. */
    fun onLease(lease: Lease, virtualService: Map<WorkspaceId, Long>, deferred: Set<WorkspaceId>) {
        slots.onLease(lease)
        dispatchOrder.onGrant(virtualService, deferred)
    }

    /** Releases the slot of an ended attempt. [cost] is null if the attempt failed. */
    fun finish(dispatched: DispatchedRequest, cost: Long?, broken: Boolean) {
        val request = dispatched.request
        slots.release(dispatched.endpoint.id)
        slotsInUse[dispatched.lender]?.let {
            it.workspaces.decrement(request.workspace)
            it.endpoints.decrement(dispatched.endpoint.id)
        }
        chooser.onEnd(request, dispatched.endpoint.id)
        if (cost != null) {
            estimator.record(request.workspace, cost.toDouble())
            meanCost += MEAN_COST_SMOOTHING * (cost - meanCost)
        }
        if (broken) {
            slots.trip(dispatched.endpoint.id)
        }
    }

    /** Acquires a slot for the next waiting request and returns that request, or null if none can start. */
    fun next(nowMs: Long): DispatchedRequest? {
        val free = slots.free(nowMs).filterKeys { views.current.isOpen(it) }
        if (free.isEmpty()) {
            return null
        }
        val own = free.filterKeys { slots.lender(it) == views.current.endpoints[it]?.cell }
        val borrowed = free - own.keys
        return dispatchOrder.sorted(queue.workspaces, nowMs) { queue.peek(it)?.arrivedMs ?: nowMs }.asSequence()
            .flatMap { candidates(it, nowMs) }
            .firstNotNullOfOrNull { tryStart(it, own, borrowed, nowMs) }
    }

    /**
     * Returns the requests of [workspace] that may start next.
     *
     * These are the requests up to the first that is neither suspect nor past its deadline, so that suspects, for which
     * few endpoints are eligible, and expired requests don't block those behind them.
     */
    private fun candidates(workspace: WorkspaceId, nowMs: Long): List<RoutedRequest> =
        queue.peekThrough(workspace) { !chooser.isSuspect(it) && it.deadlineMs > nowMs }

    fun usesSlotsOf(cell: Cell): Boolean = slotsInUse[cell]?.endpoints?.isNotEmpty() == true

    fun snapshot(nowMs: Long): PoolSnapshot = PoolSnapshot(
        waiting = queue.workspaces.associateWith {
            WaitingRequests(queue.count(it), nowMs - queue.peek(it)!!.arrivedMs)
        },
        slotsInUse = slotsInUse.mapValues { SlotsInUse(HashMap(it.value.workspaces), HashMap(it.value.endpoints)) },
        virtualService = dispatchOrder.virtualService(),
        meanCost = meanCost.toLong(),
    )

    private fun tryStart(
        request: RoutedRequest,
        own: Map<EndpointId, Int>,
        borrowed: Map<EndpointId, Int>,
        nowMs: Long,
    ): DispatchedRequest? {
        if (request.deadlineMs <= nowMs) {
            return null
        }
        val maySpill = nowMs - request.arrivedMs >= spillAfterMs
        val chosen = chooser.choose(request, own) ?: borrowed.takeIf { maySpill }?.let { chooser.choose(request, it) }
        return chosen?.let { views.current.endpoints[it] }?.let { acquireSlot(request, it, nowMs) }
    }

    private fun acquireSlot(request: RoutedRequest, endpoint: Endpoint, nowMs: Long): DispatchedRequest {
        val lender = slots.lender(endpoint.id) ?: endpoint.cell
        queue.remove(request)
        slots.acquire(endpoint.id)
        val usedSlots = slotsInUse.getOrPut(lender) { SlotsInUse() }
        usedSlots.workspaces.merge(request.workspace, 1, Int::plus)
        usedSlots.endpoints.merge(endpoint.id, 1, Int::plus)
        chooser.onStart(request, endpoint.id)
        dispatchOrder.onStart(request.workspace, nowMs)
        val estimate = estimator.estimate(request.workspace).toLong()
        return DispatchedRequest(request, endpoint, lender, AttemptCostTracker(request, lender, servedCosts, estimate))
    }
}

private fun <K> MutableMap<K, Int>.decrement(key: K) {
    computeIfPresent(key) { _, count -> if (count > 1) count - 1 else null }
}
