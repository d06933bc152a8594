package corneltrack.policy.placement

private const val LOAD_FACTOR = 0.75f
private const val INITIAL_CAPACITY = 64

/**
 * Remembers which segments of prompts an engine was sent lately and is likely to have in its cache.
 *
 * The engine does not say what it keeps; a segment is taken as cached for the retention time after its last use. Not
 * thread-safe.
 */
public class PrefixCacheEstimate {
    private val lastUsedMs = LinkedHashMap<Long, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Notes that the engine was sent [segments]. */
    public fun onSent(segments: List<PromptSegment>, nowMs: Long, retentionMs: Long) {
        segments.forEach { lastUsedMs[it.prefixHash] = nowMs }
        val oldest = lastUsedMs.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next() > retentionMs) oldest.remove()
    }

    /** Returns how many tokens at the start of [segments] the engine is likely to have. */
    public fun cachedTokens(segments: List<PromptSegment>, nowMs: Long, retentionMs: Long): Int {
        val cached = segments.takeWhile { segment ->
            val usedMs = lastUsedMs[segment.prefixHash]
            usedMs != null && nowMs - usedMs <= retentionMs
        }
        return cached.sumOf { it.tokens }
    }

    /** Forgets everything, as after a restart of the engine. */
    public fun clear(): Unit = lastUsedMs.clear()
}
