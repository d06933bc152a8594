package corneltrack.policy

import corneltrack.world.EndpointId
import kotlin.math.max
import kotlin.math.min

/** Chooses up to [target] slots, and at most the [available] number on each endpoint. */
internal class SlotChoice(private val available: Map<EndpointId, Int>, private val target: Int) {
    private val taken = HashMap<EndpointId, Int>()
    private var remaining = max(0, target)

    /** Returns the number of slots taken, by endpoint. */
    fun result(): Map<EndpointId, Int> = taken.filterValues { it > 0 }

    /** Takes up to the [wanted] number of slots of each endpoint, in the order of the map. */
    fun take(wanted: Map<EndpointId, Int>) {
        wanted.forEach { (id, count) ->
            val have = taken[id] ?: 0
            val allowed = min(count, available[id] ?: 0)
            val more = min(remaining, max(0, allowed - have))
            taken[id] = have + more
            remaining -= more
        }
    }

    /** Takes the remaining slots one at a time, each from the endpoint with the most available slots. */
    fun takeLeastLoaded() {
        while (remaining > 0) {
            val best = available.maxByOrNull { (id, count) -> count - (taken[id] ?: 0) } ?: return
            if (best.value - (taken[best.key] ?: 0) <= 0) {
                return
            }
            taken.merge(best.key, 1, Int::plus)
            remaining--
        }
    }
}
