package corneltrack.policy.placement

import corneltrack.world.EndpointId
import kotlin.math.ceil
import kotlin.math.exp

/** Mixed into the hashes of engine names; all routers of a fleet must use the same value. */
private const val RANKING_KEY = 0x6c616e65L

/** The time constant, in ms, with which recent prefill tokens decay. */
private const val DECAY_MS = 10_000.0

/** The factor by which a size class gets more engines than its share. */
private const val HEADROOM = 1.15

/**
 * Assigns engines to classes of prompts by length.
 *
 * Protects the streams of short prompts where a few prompts are many times as long as the rest: while an engine
 * prefills the end of a long prompt, each batch step takes so long that the pauses of all its other streams exceed
 * what callers accept. Prompts of one size class therefore go to the same engines. Each class gets engines in
 * proportion to its share of the recent prefill tokens; the shortest class gets the rest. All routers rank the engines
 * in the same order, by rendezvous hashing. Not thread-safe.
 *
 * @param lowerBounds the prompt lengths, in tokens and in ascending order, at which a further size class begins.
 */
public class SizeClassAssignment(private val lowerBounds: List<Int>) {
    private val recentTokens = DoubleArray(lowerBounds.size + 1)
    private var decayedMs = 0L
    private var rankedEngines: List<EndpointId> = emptyList()

    /** Returns the size class of [generation]: 0 for the shortest. */
    public fun sizeClassOf(generation: Generation): Int = lowerBounds.count { generation.promptTokens >= it }

    /** Records the prompt of a caller's request; tokens of the shared prefix do not count. */
    public fun onRequest(generation: Generation, nowMs: Long) {
        val factor = exp((decayedMs - nowMs) / DECAY_MS)
        for (index in recentTokens.indices) recentTokens[index] *= factor
        recentTokens[sizeClassOf(generation)] += (generation.promptTokens - generation.sharedTokens).toDouble()
        decayedMs = nowMs
    }

    /**
     * Returns the [engines] that may serve [generation], each with the number of size classes that its own class is
     * above that of the prompt. If no engine is assigned to the prompt's class or a longer one, those of the longest
     * assigned class serve it.
     */
    public fun eligibleEngines(generation: Generation, engines: Collection<EndpointId>): Map<EndpointId, Int> {
        val assigned = assign(engines)
        val sizeClass = minOf(sizeClassOf(generation), assigned.values.maxOrNull() ?: 0)
        return assigned.filterValues { it >= sizeClass }.mapValues { it.value - sizeClass }
    }

    /** Returns the size class to which each of [engines] is assigned. */
    internal fun assign(engines: Collection<EndpointId>): Map<EndpointId, Int> {
        val ranked = ranked(engines)
        val total = recentTokens.sum()
        val assigned = HashMap<EndpointId, Int>()
        var next = 0
        for (sizeClass in recentTokens.indices.reversed()) {
            val remaining = ranked.size - next
            val count =
                if (sizeClass == 0) {
                    remaining
                } else {
                    minOf(engineCount(sizeClass, ranked.size, total), maxOf(0, remaining - sizeClass))
                }
            repeat(count) { assigned[ranked[next++]] = sizeClass }
        }
        return assigned
    }

    /** Returns [engines] in the order of assignment, the same in all routers; cached until the engines change. */
    private fun ranked(engines: Collection<EndpointId>): List<EndpointId> {
        if (rankedEngines.size != engines.size || !engines.containsAll(rankedEngines)) {
            rankedEngines = engines.sortedBy { mixHash(RANKING_KEY, it.value.hashCode().toLong()) }
        }
        return rankedEngines
    }

    private fun engineCount(sizeClass: Int, engines: Int, total: Double): Int =
        if (total <= 0) 0 else ceil(engines * recentTokens[sizeClass] / total * HEADROOM - ROUNDING).toInt()

    private companion object {
        /** A size class gets one more engine if it needs more than this fraction of it. */
        const val ROUNDING = 0.35
    }
}
