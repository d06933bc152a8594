package corneltrack.policy

import corneltrack.world.EndpointId
import kotlin.math.max
import kotlin.math.min

private const val HEADROOM_SLOTS = 2

/** Derives, from what is known of one cell, which slots may be lent to a router. Not thread-safe. */
internal class CellCapacity(
    private val times: LeaseTimes,
    private val supporters: Supporters,
    private val holders: SlotHolders,
    private val endpointTable: EndpointTable,
    private val borrowed: BorrowedSlots,
) {
    /** Returns the slots, own and borrowed, that the present support allows. */
    fun usable(nowMs: Long): Int = endpointIds(nowMs).sumOf { usable(it, nowMs) }

    /** Returns how long a lease to [holder] may last: never longer than the support and the loans that it rests on. */
    fun leaseMs(holder: SlotHolder, nowMs: Long): Long {
        val own = min(times.leaseMs, supporters.firstExpiryMs(nowMs) - nowMs)
        val loans = borrowed.remainingMs(nowMs).takeIf { holder.local }
        return min(own, loans ?: own)
    }

    /**
     * Returns how many slots [holder] should have.
     *
     * Beyond its entitlement a router of the home group also gets what others do not claim at the moment, so that no slot idles
     * until a slow link lets its next user know of it.
     */
    fun target(holder: SlotHolder, spare: Int, nowMs: Long): Int {
        if (!holder.local) {
            return holder.entitlement
        }
        val reserved = holders.all.filter { it !== holder && it.hasReservation(nowMs) }.sumOf { max(0, it.entitlement - it.held) }
        val reachable = free(nowMs) + holder.held - reserved
        return max(holder.entitlement + headroom(holder, spare), min(reachable, holder.demand))
    }

    private fun free(nowMs: Long): Int =
        endpointIds(nowMs).sumOf { max(0, usable(it, nowMs) - holders.committed(it) - unaccounted(it, nowMs)) }

    /**
     * Returns how many [spare] slots to lend [holder] ahead of need, so that requests can start at once.
     *
     * Half of an even part at least; the rest stays in hand for whichever router needs it first.
     */
    private fun headroom(holder: SlotHolder, spare: Int): Int {
        val locals = holders.all.count { it.local }
        val evenly = if (locals == 0) 0 else spare / locals
        return min(evenly, max(evenly / 2, HEADROOM_SLOTS + holder.running.values.sum()))
    }

    /** Picks [target] slots for [holder]: first what it runs, then what it has, then the least loaded endpoints. */
    fun chooseSlots(holder: SlotHolder, target: Int, nowMs: Long): Map<EndpointId, Int> {
        val candidates = if (holder.local) endpointIds(nowMs) else endpointTable.ids
        val available = candidates.associateWith { usable(it, nowMs) - holders.committed(it, holder) - unaccounted(it, nowMs) }
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
