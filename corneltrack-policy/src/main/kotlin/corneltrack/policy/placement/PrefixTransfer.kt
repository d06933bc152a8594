package corneltrack.policy.placement

/** The time to set up a copy, in ms, whatever its size. */
private const val TRANSFER_SETUP_MS = 5.0

/** How many times as long as the copy the prefill must take for the copy to be worthwhile; links are shared. */
private const val MINIMUM_TRANSFER_GAIN = 3.0

/**
 * Describes a copy of a cached prefix from one engine to another.
 *
 * @property source the engine that has the prefix cached.
 * @property tokens the tokens that the source has cached beyond those that the target has.
 * @property durationMs the expected duration of the copy, in ms.
 */
public data class PrefixTransfer(val source: EngineCandidate, val tokens: Int, val durationMs: Double)

/**
 * Describes how engines keep and copy the prefixes of prompts.
 *
 * @property retentionMs the time for which engines cache a segment after its last use, in ms.
 * @property transferMsPerToken the time to copy one token's KV cache, in ms; null if engines cannot copy it.
 * @property transferSuccessRate the fraction of copied tokens that need no prefill, up to 1.
 */
public data class PrefixCaching(
    val retentionMs: Long,
    val transferMsPerToken: Double? = null,
    val transferSuccessRate: Double = INITIAL_SUCCESS_RATE,
)

/**
 * Finds the engine from which a prompt's prefix is best copied.
 *
 * Answers loads of long shared prefixes that are popular enough to need more than one engine: a copy takes a small part
 * of the time of a prefill. Only prefixes that a first event has confirmed are copied.
 */
internal class PrefixSources(
    sources: List<EngineCandidate>,
    private val generation: Generation,
    private val caching: PrefixCaching,
    nowMs: Long,
) {
    private class Source(val engine: EngineCandidate, val tokens: Int)

    private val holders: List<Source> =
        if (caching.transferMsPerToken == null || generation.sharedTokens == 0) {
            emptyList()
        } else {
            sources.map {
                Source(it, it.prefixCache.confirmedTokens(generation.segments, nowMs, caching.retentionMs))
            }.filter { it.tokens > 0 }
        }

    /** The two holders with the most tokens, of which one may be the target itself. */
    private val best = holders.longestTwo()
    private val bestByDataCentre = holders.groupBy { it.engine.dataCentre }.mapValues { it.value.longestTwo() }

    /** Returns the best copy to [target], which has [cachedTokens] itself; null if a copy saves too little. */
    fun transferTo(target: EngineCandidate, cachedTokens: Int): PrefixTransfer? {
        val overall = best.other(target) ?: return null
        val local = bestByDataCentre[target.dataCentre]?.other(target)
        val source = if (local != null && local.tokens == overall.tokens) local else overall
        val tokens = source.tokens - cachedTokens
        val durationMs = durationMs(tokens)
        val worthwhile = tokens > 0 && tokens * target.load.prefillMsPerToken >= MINIMUM_TRANSFER_GAIN * durationMs
        return if (worthwhile) PrefixTransfer(source.engine, tokens, durationMs) else null
    }

    private fun List<Source>.longestTwo(): List<Source> = sortedByDescending { it.tokens }.take(2)

    private fun List<Source>.other(target: EngineCandidate): Source? = firstOrNull { it.engine !== target }

    private fun durationMs(tokens: Int) = TRANSFER_SETUP_MS + tokens * (caching.transferMsPerToken ?: 0.0)
}
