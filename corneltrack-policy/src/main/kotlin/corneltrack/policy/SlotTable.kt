package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId

/**
 * The slots of one cell that are lent to this router.
 *
 * @property allocator the router that allocates the cell's slots.
 * @property slots the number of slots by endpoint; endpoints of other cells are included if the allocator borrowed
 * their slots.
 * @property untilMs when the lease expires, in ms of this router's clock.
 */
public data class Lease(
    val cell: Cell,
    val allocator: InstanceId,
    val slots: Map<EndpointId, Int>,
    val untilMs: Long,
)

/**
 * Tracks the slots of one pool that are leased to this router and the requests that it runs in them. Not thread-safe;
 * owned by the scheduler.
 */
public class SlotTable {
    private val leases = HashMap<Cell, Lease>()
    private val running = HashMap<EndpointId, Int>()

    /** Replaces the lease of a cell. */
    public fun onLease(lease: Lease) {
        leases[lease.cell] = lease
    }

    /** Returns the number of free slots under leases valid at [nowMs], for each endpoint with a free slot. */
    public fun free(nowMs: Long): Map<EndpointId, Int> =
        leases.values.filter { it.untilMs > nowMs }
            .flatMap { lease -> lease.slots.map { (id, lent) -> id to lent - (running[id] ?: 0) } }
            .filter { it.second > 0 }
            .toMap()

    /** Returns a cell whose latest lease, valid or expired, contains slots of [endpoint], or null if there is none. */
    public fun lender(endpoint: EndpointId): Cell? = leases.values.firstOrNull { endpoint in it.slots }?.cell

    /** Occupies a slot of [endpoint], which must have a [free] one. */
    public fun acquire(endpoint: EndpointId) {
        running.merge(endpoint, 1, Int::plus)
    }

    /** Releases a slot of [endpoint]. */
    public fun release(endpoint: EndpointId) {
        running.computeIfPresent(endpoint) { _, count -> if (count > 1) count - 1 else null }
    }

    /**
     * Removes the slots of [endpoint] after a broken connection, so that no request starts there until the next lease
     * of its cell.
     */
    public fun trip(endpoint: EndpointId) {
        leases.replaceAll { _, lease -> lease.copy(slots = lease.slots - endpoint) }
    }

    /** Returns whether any lease is valid at [nowMs]. */
    public fun anyLease(nowMs: Long): Boolean = leases.values.any { it.untilMs > nowMs }
}
