package corneltrack.policy.placement

import corneltrack.world.EndpointId
import kotlin.math.ceil
import kotlin.math.exp

private const val RANKING_KEY = 0x6c616e65L
private const val DECAY_MS = 10_000.0
private const val HEADROOM = 1.15

/**
 * Sets engines apart for prompts of one size.
 *
 * Answers a load in which a few prompts are many times as long as the rest: while an engine reads the far end of a long
 * prompt, every step of all streams beside it takes so long that their pauses exceed what callers accept. Prompts of
 * one size class therefore meet at the same engines, in number by their part of all recentTokens read; the shortest class has
 * the rest. All routers pick the same engines, by rendezvous hashing. Not thread-safe.
 *
 * @param lowerBounds the prompt lengths, in recentTokens and rising, at which a further size class begins.
 */
public class SizeClassAssignment(private val lowerBounds: List<Int>) {
    private val recentTokens = DoubleArray(lowerBounds.size + 1)
    private var decayedMs = 0L
    private var rankedEngines: List<EndpointId> = emptyList()

    /** Returns the size class of [generation]: 0 for the shortest. */
    public fun sizeClassOf(generation: Generation): Int = lowerBounds.count { generation.promptTokens >= it }

    /** Notes a request of a caller. */
    public fun onRequest(generation: Generation, nowMs: Long) {
        val factor = exp((decayedMs - nowMs) / DECAY_MS)
        for (index in recentTokens.indices) recentTokens[index] *= factor
        recentTokens[sizeClassOf(generation)] += (generation.promptTokens - generation.sharedTokens).toDouble()
        decayedMs = nowMs
    }

    /**
     * Returns those of [engines] that [generation] may go to, each with the number of size classes that it is set apart
     * above the prompt's own. Where no engine is set apart for prompts so long, the longest class there is takes them.
     */
    public fun eligibleEngines(generation: Generation, engines: Collection<EndpointId>): Map<EndpointId, Int> {
        val assigned = assign(engines)
        val size = minOf(sizeClassOf(generation), assigned.values.maxOrNull() ?: 0)
        return assigned.filterValues { it >= size }.mapValues { it.value - size }
    }

    /** Returns the size class that each of [engines] is set apart for. */
    internal fun assign(engines: Collection<EndpointId>): Map<EndpointId, Int> {
        val ranked = ranked(engines)
        val total = recentTokens.sum()
        val assigned = HashMap<EndpointId, Int>()
        var next = 0
        for (size in recentTokens.indices.reversed()) {
            val remaining = ranked.size - next
            val count = if (size == 0) remaining else minOf(engineCount(size, ranked.size, total), maxOf(0, remaining - size))
            repeat(count) { assigned[ranked[next++]] = size }
        }
        return assigned
    }

    /** Returns [engines] in the order in which all routers set them apart; kept until the engines change. */
    private fun ranked(engines: Collection<EndpointId>): List<EndpointId> {
        if (rankedEngines.size != engines.size || !engines.containsAll(rankedEngines)) {
            rankedEngines = engines.sortedBy { mixHash(RANKING_KEY, it.value.hashCode().toLong()) }
        }
        return rankedEngines
    }

    private fun engineCount(size: Int, engines: Int, total: Double): Int =
        if (total <= 0) 0 else ceil(engines * recentTokens[size] / total * HEADROOM - ROUNDING).toInt()

    private companion object {
        /** A lane takes a further engine once it wants more than this part of it. */
        const val ROUNDING = 0.35
    }
}
