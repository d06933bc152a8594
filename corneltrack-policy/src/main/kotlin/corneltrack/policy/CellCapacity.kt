package corneltrack.policy

import corneltrack.world.EndpointId
import kotlin.math.min

private const val AHEAD_SLOTS = 2

/** Derives, from what is known of one cell, which slots may be lent to a router. Not thread-safe. */
internal class CellCapacity(
    private val times: LeaseTimes,
    private val supporters: Supporters,
    private val holders: Holders,
    private val book: EndpointBook,
) {
    /** Returns the slots of the whole cell that the present support allows. */
    fun usable(nowMs: Long): Int = book.ids.sumOf { usable(it, nowMs) }

    /** Returns how long a lease may last: never longer than the support that it rests on. */
    fun leaseMs(nowMs: Long): Long = min(times.leaseMs, supporters.firstLapse(nowMs) - nowMs)

    /** Returns how many [spare] slots to lend [holder] ahead of need, so that a request can start at once. */
    fun ahead(holder: Holder, spare: Int): Int {
        val locals = holders.all.count { it.local }
        if (!holder.local || locals == 0) {
            return 0
        }
        return min(spare / locals, AHEAD_SLOTS + holder.running.values.sum())
    }

    /** Picks [target] slots for [holder]: first what it runs, then what it has, then the least loaded endpoints. */
    fun choose(holder: Holder, target: Int, nowMs: Long): Map<EndpointId, Int> {
        val available = book.ids.associateWith { usable(it, nowMs) - holders.committed(it, holder) - lost(it, nowMs) }
        val choice = SlotChoice(available, target)
        choice.take(holder.running)
        choice.take(holder.granted)
        choice.takeLeastLoaded()
        return choice.taken()
    }

    private fun usable(id: EndpointId, nowMs: Long): Int =
        supportedSlots(book.limit(id), supporters.supporting(nowMs).size, supporters.listed(nowMs))

    private fun lost(id: EndpointId, nowMs: Long): Int =
        maxOf(0, book.unaccounted(id) - holders.lapsed(id, nowMs))
}
