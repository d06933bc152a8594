package corneltrack.router

import corneltrack.policy.Lease
import corneltrack.world.Cell
import corneltrack.world.EndpointId
import corneltrack.world.PoolId
import corneltrack.world.WorkspaceId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Counts the waiting requests of one workspace. */
internal data class WaitingRequests(val count: Int, val oldestWaitMs: Long)

/** Holds requests that will not start here any more. */
internal class ExpiredRequests(val pastDeadline: List<RoutedRequest>, val isolated: List<RoutedRequest>)

/** Counts the slots in use that one cell's allocator has lent. */
internal data class SlotsInUse(
    val workspaces: MutableMap<WorkspaceId, Int> = HashMap(),
    val endpoints: MutableMap<EndpointId, Int> = HashMap(),
)

/**
 * Shows what one pool does at this router, for reports to allocators and operators.
 *
 * @property meanCost the mean cost of the requests that ended lately, or 0 where none did.
 */
internal class PoolSnapshot(
    val waiting: Map<WorkspaceId, WaitingRequests>,
    val slotsInUse: Map<Cell, SlotsInUse>,
    val virtualService: Map<WorkspaceId, Long>,
    val meanCost: Long,
)

/**
 * Holds the waiting requests of one pool and starts them, in fair order, on slots lent by allocators.
 *
 * State changes under one short lock; requests are started outside it.
 *
 * @param start starts a request whose slot has been taken.
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

    /** Whether any request waits. */
    val waiting: Boolean get() = state.queue.anyWaiting

    /**
     * Lets [request] wait and starts what can start. One that was attempted before waits ahead of others.
     *
     * @return false where its workspace already waits too much.
     */
    fun submit(request: RoutedRequest, nowMs: Long): Boolean {
        val limit = views.current.configuration.agreement.termsFor(request.workspace).waitingLimit
        val queued = lock.withLock { state.enqueue(request, limit) }
        if (queued) {
            dispatch(nowMs)
        }
        return queued
    }

    /** Stops a request from waiting. Returns whether it was. */
    fun remove(request: RoutedRequest): Boolean = lock.withLock { state.queue.remove(request) }

    /** Gives the slot of an ended attempt back. [cost] is known only for requests that ran to their end. */
    fun finish(dispatched: DispatchedRequest, cost: Long?, broken: Boolean, nowMs: Long) {
        lock.withLock { state.finish(dispatched, cost, broken) }
        dispatch(nowMs)
    }

    /** Stops new work on [endpoint] until the next lease of its cell. */
    fun trip(endpoint: EndpointId) = lock.withLock { state.slots.trip(endpoint) }

    /** Applies a grant and starts what can start. */
    fun onLease(lease: Lease, virtualService: Map<WorkspaceId, Long>, deferred: Set<WorkspaceId>, nowMs: Long) {
        lock.withLock { state.onLease(lease, virtualService, deferred) }
        dispatch(nowMs)
    }

    /** Removes the requests that can no longer start in time, and those that waited [isolationMs] without a lease. */
    fun expire(nowMs: Long, isolationMs: Long): ExpiredRequests = lock.withLock {
        val pastDeadline = state.queue.expire(nowMs)
        val leased = state.slots.anyLease(nowMs - isolationMs)
        val isolated = if (leased) emptyList() else state.queue.drain { nowMs - it.arrivedMs >= isolationMs }
        ExpiredRequests(pastDeadline, isolated)
    }

    /** Returns whether any slots are lent to this router. */
    fun hasLease(nowMs: Long): Boolean = lock.withLock { state.slots.anyLease(nowMs) }

    /** Returns whether a slot lent by the allocator of [cell] is in use. */
    fun usesSlotsOf(cell: Cell): Boolean = lock.withLock { state.usesSlotsOf(cell) }

    fun snapshot(nowMs: Long): PoolSnapshot = lock.withLock { state.snapshot(nowMs) }

    private fun dispatch(nowMs: Long) {
        generateSequence { lock.withLock { state.next(nowMs) } }.forEach(start)
    }
}
