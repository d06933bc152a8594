package corneltrack.router

import corneltrack.policy.CostEstimator
import corneltrack.policy.FairQueue
import corneltrack.policy.Lease
import corneltrack.policy.SlotTable
import corneltrack.world.Cell
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.WorkspaceId

private const val PRIOR_COST = 100.0
private const val MEAN_LEARNING = 0.1

/** A request that has been given a slot and is charged its estimated cost. */
internal class Start(
    val request: RoutedRequest,
    val endpoint: Endpoint,
    val lender: Cell,
    val cost: AttemptCostTracker,
)

/** Holds what waits and runs in one pool at this router. Not thread-safe; guarded by the pool's scheduler. */
internal class PoolState(
    private val views: RouterViews,
    private val spillAfterMs: Long,
    private val choose: EndpointChooser,
    private val meter: ServedCostCounter,
) {
    private val estimator = CostEstimator<WorkspaceId>(PRIOR_COST)
    private val held = HashMap<Cell, HeldSlots>()
    private val order = DispatchOrder(meter) {
        views.current.configuration.agreement.termsFor(it).weight
    }
    val queue = FairQueue<RoutedRequest>()
    val slots = SlotTable()

    private var meanCost = 0.0

    /** Lets [request] wait. Returns false where its workspace already has [limit] waiting. */
    fun enter(request: RoutedRequest, limit: Int): Boolean =
        if (request.attempts == 0) queue.offer(request, limit) else true.also { queue.requeue(request) }

    /** Applies a grant. */
    fun onLease(lease: Lease, virtual: Map<WorkspaceId, Long>, deferred: Set<WorkspaceId>) {
        slots.onLease(lease)
        order.onGrant(virtual, deferred)
    }

    /** Gives the slot of an ended attempt back. [cost] is known only for requests that ran to their end. */
    fun finish(start: Start, cost: Long?, broken: Boolean) {
        val request = start.request
        slots.release(start.endpoint.id)
        held[start.lender]?.let {
            it.workspaces.decrement(request.workspace)
            it.endpoints.decrement(start.endpoint.id)
        }
        choose.onEnd(request, start.endpoint.id)
        if (cost != null) {
            estimator.record(request.workspace, cost.toDouble())
            meanCost += MEAN_LEARNING * (cost - meanCost)
        }
        if (broken) {
            slots.trip(start.endpoint.id)
        }
    }

    /** Takes a slot for the waiting request that is due next, or returns null where none can start. */
    fun next(nowMs: Long): Start? {
        val free = slots.free(nowMs).filterKeys { views.current.isOpen(it) }
        if (free.isEmpty()) {
            return null
        }
        val home = free.filterKeys { slots.lender(it) == views.current.endpoints[it]?.cell }
        val remote = free - home.keys
        return order.sorted(queue.workspaces, nowMs) { queue.peek(it)?.arrivedMs ?: nowMs }.asSequence()
            .flatMap { candidates(it, nowMs) }
            .firstNotNullOfOrNull { start(it, home, remote, nowMs) }
    }

    /**
     * Returns the requests of [workspace] that may start next.
     *
     * Suspects, which fit few endpoints, and requests past their deadline hold up no other.
     */
    private fun candidates(workspace: WorkspaceId, nowMs: Long): List<RoutedRequest> =
        queue.peekThrough(workspace) { !choose.isSuspect(it) && it.deadlineMs > nowMs }

    fun runsIn(cell: Cell): Boolean = held[cell]?.endpoints?.isNotEmpty() == true

    fun snapshot(nowMs: Long): PoolSnapshot = PoolSnapshot(
        waiting = queue.workspaces.associateWith { WaitCount(queue.count(it), nowMs - queue.peek(it)!!.arrivedMs) },
        held = held.mapValues { HeldSlots(HashMap(it.value.workspaces), HashMap(it.value.endpoints)) },
        virtual = order.known(),
        meanCost = meanCost.toLong(),
    )

    private fun start(
        request: RoutedRequest,
        home: Map<EndpointId, Int>,
        remote: Map<EndpointId, Int>,
        nowMs: Long,
    ): Start? {
        if (request.deadlineMs <= nowMs) {
            return null
        }
        val waited = nowMs - request.arrivedMs >= spillAfterMs
        val chosen = choose(request, home) ?: remote.takeIf { waited }?.let { choose(request, it) }
        return chosen?.let { views.current.endpoints[it] }?.let { take(request, it, nowMs) }
    }

    private fun take(request: RoutedRequest, endpoint: Endpoint, nowMs: Long): Start {
        val lender = slots.lender(endpoint.id) ?: endpoint.cell
        queue.remove(request)
        slots.acquire(endpoint.id)
        val inUse = held.getOrPut(lender) { HeldSlots() }
        inUse.workspaces.merge(request.workspace, 1, Int::plus)
        inUse.endpoints.merge(endpoint.id, 1, Int::plus)
        choose.onStart(request, endpoint.id)
        order.onStart(request.workspace, nowMs)
        val estimate = estimator.estimate(request.workspace).toLong()
        return Start(request, endpoint, lender, AttemptCostTracker(request, lender, meter, estimate))
    }
}

private fun <K> MutableMap<K, Int>.decrement(key: K) {
    computeIfPresent(key) { _, count -> if (count > 1) count - 1 else null }
}
