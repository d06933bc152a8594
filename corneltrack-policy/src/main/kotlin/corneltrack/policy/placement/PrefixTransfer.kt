package corneltrack.policy.placement

/** The time to set up a copy, in ms, whatever its size. */
private const val TRANSFER_SETUP_MS = 5.0

/** How many times as long as the copy the prefill must take for the copy to be worthwhile; links are shared. */
private const val MINIMUM_TRANSFER_GAIN = 3.0

/** The success rate assumed before the first copy, the weight of a new result, and the bounds of what is relied on. */
private const val INITIAL_SUCCESS_RATE = 0.8
private const val SUCCESS_SMOOTHING = 0.05

/** A result counts only if the prefill that a copy saves takes at least this long, in ms, so that it stands out. */
private const val MINIMUM_OBSERVED_SAVING_MS = 40.0

/** The fraction of the saving by which a first event may be late before the copy counts as failed. */
private const val FAILURE_FRACTION = 0.5

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

    /** Returns the best copy to [target], which has [cachedTokens] itself; null if a copy saves too little. */
    fun transferTo(target: EngineCandidate, cachedTokens: Int): PrefixTransfer? =
        holders.filter { it.engine !== target && it.tokens > cachedTokens }
            .maxWithOrNull(compareBy({ it.tokens }, { it.engine.dataCentre == target.dataCentre }))
            ?.let { PrefixTransfer(it.engine, it.tokens - cachedTokens, durationMs(it.tokens - cachedTokens)) }
            ?.takeIf { it.tokens * target.load.prefillMsPerToken >= MINIMUM_TRANSFER_GAIN * it.durationMs }

    private fun durationMs(tokens: Int) = TRANSFER_SETUP_MS + tokens * (caching.transferMsPerToken ?: 0.0)
}

/**
 * Learns from first events how often a copied prefix arrives.
 *
 * The source may have evicted the prefix or may be unreachable from the target; the target then processes the whole
 * prompt and its first event is late by the time of that. Not thread-safe.
 */
public class TransferSuccess {
    /** The recent fraction of copies that arrived. */
    public var rate: Double = INITIAL_SUCCESS_RATE
        private set

    /**
     * Records the first event of a request with a copied prefix. Returns whether the copy probably arrived, or null if
     * that cannot be told.
     *
     * @param savingMs the prefill time that the copy saves, in ms.
     * @param lateMs how much later than expected the first event was, in ms; negative if it was earlier.
     */
    public fun onFirstEvent(savingMs: Double, lateMs: Double): Boolean? {
        if (savingMs < MINIMUM_OBSERVED_SAVING_MS) return null
        val arrived = lateMs < savingMs * FAILURE_FRACTION
        rate += SUCCESS_SMOOTHING * ((if (arrived) 1.0 else 0.0) - rate)
        return arrived
    }
}
