package corneltrack.policy.placement

private const val ACCESS_ORDER_LOAD = 0.75f
private const val INITIAL_PARTS = 64

/**
 * Remembers which segments of prompts an engine was sent lately and is likely to have in its cache.
 *
 * The engine does not say what it keeps; a segment is taken as kept for the retention time after its last use. Not
 * thread-safe.
 */
public class PrefixCacheEstimate {
    private val lastUse = LinkedHashMap<Long, Long>(INITIAL_PARTS, ACCESS_ORDER_LOAD, true)

    /** Notes that the engine was sent [segments]. */
    public fun onSent(segments: List<PromptSegment>, nowMs: Long, retentionMs: Long) {
        segments.forEach { lastUse[it.prefixHash] = nowMs }
        val oldest = lastUse.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next() > retentionMs) oldest.remove()
    }

    /** Returns how many tokens at the start of [segments] the engine is likely to have. */
    public fun cachedTokens(segments: List<PromptSegment>, nowMs: Long, retentionMs: Long): Int {
        val kept = segments.takeWhile { segment ->
            val usedMs = lastUse[segment.prefixHash]
            usedMs != null && nowMs - usedMs <= retentionMs
        }
        return kept.sumOf { it.tokens }
    }

    /** Forgets everything, as after a restart of the engine. */
    public fun clear(): Unit = lastUse.clear()
}
