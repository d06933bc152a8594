package corneltrack.policy

import corneltrack.world.EndpointId
import kotlin.math.max
import kotlin.math.min

private const val HEADROOM_SLOTS = 2

/** Computes which slots of one cell, own and borrowed, may be lent to a router and for how long. Not thread-safe. */
internal class CellCapacity(
    private val times: LeaseTimes,
    private val supporters: Supporters,
    private val holders: SlotHolders,
    private val endpointTable: EndpointTable,
    private val borrowed: BorrowedSlots,
) {
    /** Returns the number of slots, own and borrowed, that may be lent with the current support. */
    fun usable(nowMs: Long): Int = endpointIds(nowMs).sumOf { usable(it, nowMs) }

    /** Returns the duration of a lease to [holder]: no longer than the support and the loans that it depends on. */
    fun leaseMs(holder: SlotHolder, nowMs: Long): Long {
        val supportedMs = min(times.leaseMs, supporters.firstExpiryMs(nowMs) - nowMs)
        val loanMs = borrowed.remainingMs(nowMs).takeIf { holder.local }
        return min(supportedMs, loanMs ?: supportedMs)
    }

    /**
     * Returns how many slots [holder] should hold.
     *
     * A router of the home group also gets free slots beyond its entitlement that are not reserved for others, so that
     * no slot is idle until the router entitled to it reports over a slow link.
     */
    fun target(holder: SlotHolder, spare: Int, nowMs: Long): Int {
        if (!holder.local) {
            return holder.entitlement
        }
        val reserved = holders.all.filter { it !== holder && it.hasReservation(nowMs) }
            .sumOf { max(0, it.entitlement - it.held) }
        val reachable = free(nowMs) + holder.held - reserved
        return max(holder.entitlement + headroom(holder, spare), min(reachable, holder.demand))
    }

    private fun free(nowMs: Long): Int =
        endpointIds(nowMs).sumOf { max(0, usable(it, nowMs) - holders.committed(it) - unaccounted(it, nowMs)) }

    /**
     * Returns how many of the [spare] slots to lend to [holder] beyond its entitlement, so that new requests start
     * at once.
     *
     * That is at least half of an even share per router. The rest stays with the allocator for the router that needs
     * it first.
     */
    private fun headroom(holder: SlotHolder, spare: Int): Int {
        val localCount = holders.all.count { it.local }
        val evenShare = if (localCount == 0) 0 else spare / localCount
        return min(evenShare, max(evenShare / 2, HEADROOM_SLOTS + holder.running.values.sum()))
    }

    /**
     * Chooses [target] slots for [holder].
     *
     * Slots with a running request come first, then slots that it already holds, then those of the least loaded
     * endpoints.
     */
    fun chooseSlots(holder: SlotHolder, target: Int, nowMs: Long): Map<EndpointId, Int> {
        val candidates = if (holder.local) endpointIds(nowMs) else endpointTable.ids
        val available =
            candidates.associateWith { usable(it, nowMs) - holders.committed(it, holder) - unaccounted(it, nowMs) }
        val choice = SlotChoice(available, target)
        choice.take(holder.running)
        choice.take(holder.granted)
        choice.takeLeastLoaded()
        return choice.result()
    }

    private fun endpointIds(nowMs: Long): Set<EndpointId> = endpointTable.ids + borrowed.endpoints(nowMs)

    private fun usable(id: EndpointId, nowMs: Long): Int =
        if (id in endpointTable.ids) supported(id, nowMs) else borrowed.usable(id, nowMs)

    private fun supported(id: EndpointId, nowMs: Long): Int =
        supportedSlots(endpointTable.limit(id), supporters.supporting(nowMs).size, supporters.listedCount(nowMs))

    private fun unaccounted(id: EndpointId, nowMs: Long): Int {
        val conservative = holders.anyWithoutLease(supporters.listedRouters(nowMs), nowMs)
        return maxOf(0, endpointTable.unaccounted(id, conservative) - holders.committedToUnresponsive(id, nowMs))
    }
}
