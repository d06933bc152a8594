package corneltrack.policy.placement

/** The success rate assumed before the first copy. */
internal const val INITIAL_SUCCESS_RATE: Double = 0.8

/** The weight of a new result in the success rate. */
private const val SUCCESS_SMOOTHING = 0.05

/** A result counts only if the prefill that a copy saves takes at least this long, in ms, so that it stands out. */
private const val MINIMUM_OBSERVED_SAVING_MS = 40.0

/** The fraction of the saving by which a first event may be late before the copy counts as failed. */
private const val FAILURE_FRACTION = 0.5

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

    /**
     * Records the first event of a request for [generation] that [transfer] was to speed up. A source whose copy did
     * not arrive no longer counts as holding the prefix.
     *
     * @param target the load of the engine that was to copy the prefix.
     * @param lateMs how much later than expected the first event was, in ms; negative if it was earlier.
     */
    public fun onFirstEvent(transfer: PrefixTransfer, generation: Generation, target: EngineLoad, lateMs: Double) {
        val arrived = onFirstEvent(transfer.tokens * target.prefillMsPerToken, lateMs)
        if (arrived == false) transfer.source.prefixCache.onMissing(generation.sharedPrefixes)
    }
}
