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
private const val OVERDUE_LIMIT = 256

/** A request that has been given a slot. */
internal class Start(val request: RoutedRequest, val endpoint: Endpoint)

/** Holds what waits and runs in one pool at this router. Not thread-safe; guarded by the pool's scheduler. */
internal class PoolState(
    private val views: RouterViews,
    private val spillAfterMs: Long,
    private val choose: EndpointChooser,
    meter: ServiceMeter,
) {
    private val estimator = CostEstimator<WorkspaceId>(PRIOR_COST)
    private val running = HashMap<Cell, HashMap<WorkspaceId, Int>>()
    private val order = DispatchOrder(meter, estimator) {
        views.current.configuration.agreement.termsFor(it).weight
    }
    val queue = FairQueue<RoutedRequest>()
    val slots = SlotTable()

    /** The mean cost of the requests that ended lately, or 0 where none did. */
    var meanCost = 0.0
        private set

    /** Lets [request] wait. Returns false where its workspace already has [limit] waiting. */
    fun enter(request: RoutedRequest, limit: Int): Boolean =
        if (request.attempts == 0) queue.offer(request, limit) else true.also { queue.putBack(request) }

    /** Applies a grant. [virtual] is null for cells of other home groups. */
    fun onLease(lease: Lease, virtual: Map<WorkspaceId, Long>?, deferred: Set<WorkspaceId>) {
        slots.onLease(lease)
        virtual?.let { order.onGrant(it, deferred) }
    }

    /** Gives the slot of an ended attempt back. [cost] is known only for requests that ran to their end. */
    fun finish(request: RoutedRequest, endpoint: Endpoint, cost: Long?, broken: Boolean) {
        slots.release(endpoint.id)
        order.onEnd(request.workspace)
        running[endpoint.cell]?.computeIfPresent(request.workspace) { _, count -> if (count > 1) count - 1 else null }
        choose.onEnd(request, endpoint.id)
        if (cost != null) {
            estimator.learn(request.workspace, cost.toDouble())
            meanCost += MEAN_LEARNING * (cost - meanCost)
        }
        if (broken) {
            slots.trip(endpoint.id)
        }
    }

    /** Takes a slot for the waiting request that is due next, or returns null where none can start. */
    fun next(nowMs: Long): Start? {
        val home = open(slots.free(nowMs, home = true))
        val remote = open(slots.free(nowMs, home = false))
        if (home.isEmpty() && remote.isEmpty()) {
            return null
        }
        return order.sorted(queue.workspaces).firstNotNullOfOrNull { workspace ->
            queue.peek(workspace)?.let { start(it, home, remote, nowMs) }
        }
    }

    /** Returns whether requests wait, wait past the spill time, or run, without a full snapshot. */
    fun activity(nowMs: Long): PoolActivity = PoolActivity(
        waiting = queue.workspaces.isNotEmpty(),
        overdue = queue.workspaces.any { nowMs - queue.peek(it)!!.arrivedMs >= spillAfterMs },
        runningIn = running.filterValues { it.isNotEmpty() }.keys.toSet(),
    )

    fun snapshot(nowMs: Long): PoolSnapshot {
        val waiting = queue.workspaces.associateWith { WaitCount(queue.count(it), nowMs - queue.peek(it)!!.arrivedMs) }
        val overdue = waiting.filterValues { it.oldestMs >= spillAfterMs }.mapValues { (workspace, all) ->
            all.copy(count = queue.countArrivedBy(workspace, nowMs - spillAfterMs, OVERDUE_LIMIT))
        }
        return PoolSnapshot(
            waiting = waiting,
            overdue = overdue,
            running = slots.running(),
            runningByCell = running.mapValues { HashMap(it.value) },
            virtual = order.known(),
        )
    }

    private fun start(
        request: RoutedRequest,
        home: Map<EndpointId, Int>,
        remote: Map<EndpointId, Int>,
        nowMs: Long,
    ): Start? {
        val waited = nowMs - request.arrivedMs >= spillAfterMs
        val chosen = choose(request, home) ?: remote.takeIf { waited }?.let { choose(request, it) }
        return chosen?.let { views.current.endpoints[it] }?.let { endpoint ->
            queue.remove(request)
            slots.acquire(endpoint.id)
            order.onStart(request.workspace)
            running.getOrPut(endpoint.cell) { HashMap() }.merge(request.workspace, 1, Int::plus)
            choose.onStart(request, endpoint.id)
            Start(request, endpoint)
        }
    }

    private fun open(free: Map<EndpointId, Int>): Map<EndpointId, Int> = free.filterKeys { views.current.isOpen(it) }
}
