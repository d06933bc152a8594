package corneltrack.router

import corneltrack.policy.Lease
import corneltrack.world.Cell
import corneltrack.world.EndpointId
import corneltrack.world.PoolId
import corneltrack.world.WorkspaceId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The waiting requests of one workspace.
 *
 * @property oldestWaitMs how long the oldest of them has waited, in ms.
 */
internal data class WaitingRequests(val count: Int, val oldestWaitMs: Long)

/**
 * Requests that are removed from the queue and must be refused.
 *
 * @property pastDeadline the requests that did not start before their deadline.
 * @property isolated the requests that waited while no lease was valid.
 */
internal class ExpiredRequests(val pastDeadline: List<RoutedRequest>, val isolated: List<RoutedRequest>)

/** The number of slots in use that one cell's allocator has lent, by workspace and by endpoint. */
internal data class SlotsInUse(
    val workspaces: MutableMap<WorkspaceId, Int> = HashMap(),
    val endpoints: MutableMap<EndpointId, Int> = HashMap(),
)

/**
 * The state of one pool at this router, for reports to allocators and operators.
 *
 * @property slotsInUse the slots in use, by the cell whose allocator lent them.
 * @property meanCost the exponential moving average of the cost of completed requests, or 0 if there are none.
 */
internal class PoolSnapshot(
    val waiting: Map<WorkspaceId, WaitingRequests>,
    val slotsInUse: Map<Cell, SlotsInUse>,
    val virtualService: Map<WorkspaceId, Long>,
    val meanCost: Long,
)

/**
 * Queues the requests of one pool and starts them, in fair order, on slots lent by allocators.
 *
 * The state is guarded by a lock that is held briefly; requests are started outside it.
 *
 * @param spillAfterMs how long a request waits before it may use a slot that the lending allocator has borrowed from
 *   another cell, in ms.
 * @param start starts a request that has been given a slot.
 */
internal class PoolScheduler(
    val pool: PoolId,
    private val views: RouterViews,
    spillAfterMs: Long,
    chooser: EndpointChooser,
    private val start: (DispatchedRequest) -> Unit,
) {
    val servedCosts = ServedCostCounter()
    private val lock = ReentrantLock()
    private val state = PoolState(views, spillAfterMs, chooser, servedCosts)

    /** Whether any request is waiting. */
    val waiting: Boolean get() = state.queue.anyWaiting

    /**
     * Queues [request] and starts the requests that can start.
     *
     * A retried request goes to the head of its workspace's queue.
     *
     * @return false if the workspace has reached its limit of waiting requests.
     */
    fun submit(request: RoutedRequest, nowMs: Long): Boolean {
        val limit = views.current.configuration.agreement.termsFor(request.workspace).waitingLimit
        val queued = lock.withLock { state.enqueue(request, limit) }
        if (queued) {
            dispatch(nowMs)
        }
        return queued
    }

    /** Removes a request from the queue. Returns whether it was waiting. */
    fun remove(request: RoutedRequest): Boolean = lock.withLock { state.queue.remove(request) }

    /**
     * Releases the slot of an ended attempt and starts the requests that can start.
     *
     * @param cost the actual cost of a completed request, or null if the attempt failed.
     * @param broken whether the endpoint could not be reached or its connection broke; if so, no more requests start
     *   there until the next lease of its cell.
     */
    fun finish(dispatched: DispatchedRequest, cost: Long?, broken: Boolean, nowMs: Long) {
        lock.withLock { state.finish(dispatched, cost, broken) }
        dispatch(nowMs)
    }

    /** Starts no more requests at [endpoint] until the next lease of its cell. */
    fun trip(endpoint: EndpointId) = lock.withLock { state.slots.trip(endpoint) }

    /** Updates the slots and the order from a grant and starts the requests that can start. */
    fun onLease(lease: Lease, virtualService: Map<WorkspaceId, Long>, deferred: Set<WorkspaceId>, nowMs: Long) {
        lock.withLock { state.onLease(lease, virtualService, deferred) }
        dispatch(nowMs)
    }

    /**
     * Removes the requests whose deadline has passed and, if no lease has been valid for [isolationMs], those that have
     * waited that long.
     */
    fun expire(nowMs: Long, isolationMs: Long): ExpiredRequests = lock.withLock {
        val pastDeadline = state.queue.expire(nowMs)
        val leased = state.slots.anyLease(nowMs - isolationMs)
        val isolated = if (leased) emptyList() else state.queue.drain { nowMs - it.arrivedMs >= isolationMs }
        ExpiredRequests(pastDeadline, isolated)
    }

    /** Returns whether any lease to this router is valid. */
    fun hasLease(nowMs: Long): Boolean = lock.withLock { state.slots.anyLease(nowMs) }

    /** Returns whether a slot lent by the allocator of [cell] is in use. */
    fun usesSlotsOf(cell: Cell): Boolean = lock.withLock { state.usesSlotsOf(cell) }

    fun snapshot(nowMs: Long): PoolSnapshot = lock.withLock { state.snapshot(nowMs) }

    private fun dispatch(nowMs: Long) {
        generateSequence { lock.withLock { state.next(nowMs) } }.forEach(start)
    }
}
