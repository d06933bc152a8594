package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId

/**
 * Lends slots of one cell to this router until [untilMs] of its own clock.
 *
 * The slots may be on endpoints of other cells, borrowed by the allocator.
 */
public data class Lease(
    val cell: Cell,
    val allocator: InstanceId,
    val slots: Map<EndpointId, Int>,
    val untilMs: Long,
)

/** Counts, at a router, the slots lent and in use for one pool. Not thread-safe; owned by the pool's scheduler. */
public class SlotTable {
    private val leases = HashMap<Cell, Lease>()
    private val running = HashMap<EndpointId, Int>()

    /** Replaces the lease of a cell. */
    public fun onLease(lease: Lease) {
        leases[lease.cell] = lease
    }

    /** Returns the endpoints with a free slot whose lease is alive at [nowMs], with the number of free slots. */
    public fun free(nowMs: Long): Map<EndpointId, Int> =
        leases.values.filter { it.untilMs > nowMs }
            .flatMap { lease -> lease.slots.map { (id, lent) -> id to lent - (running[id] ?: 0) } }
            .filter { it.second > 0 }
            .toMap()

    /** Returns the cell whose allocator has lent slots of [endpoint]. */
    public fun lender(endpoint: EndpointId): Cell? = leases.values.firstOrNull { endpoint in it.slots }?.cell

    /** Takes a slot of [endpoint]. The caller has seen it free at the same moment. */
    public fun acquire(endpoint: EndpointId) {
        running.merge(endpoint, 1, Int::plus)
    }

    /** Gives a slot of [endpoint] back. */
    public fun release(endpoint: EndpointId) {
        running.computeIfPresent(endpoint) { _, count -> if (count > 1) count - 1 else null }
    }

    /** Stops new work on [endpoint] until the next lease of its cell. */
    public fun trip(endpoint: EndpointId) {
        leases.replaceAll { _, lease -> lease.copy(slots = lease.slots - endpoint) }
    }

    /** Returns whether any lease is alive at [nowMs]. */
    public fun anyLease(nowMs: Long): Boolean = leases.values.any { it.untilMs > nowMs }
}
