package corneltrack.policy.placement

private const val LOAD_FACTOR = 0.75f
private const val INITIAL_CAPACITY = 64

/**
 * Estimates which prompt segments an engine holds in its prefix cache.
 *
 * Engines do not report the contents of their caches. A segment counts as cached for the retention time after this
 * router last sent it to the engine. Not thread-safe.
 */
public class PrefixCacheEstimate {
    /** When each segment was last sent, by its prefix hash, in access order: least recently accessed first. */
    private val lastUsedMs = LinkedHashMap<Long, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /**
     * Records that [segments] were sent to the engine.
     *
     * @param retentionMs how long the engine is expected to keep an unused segment, in ms.
     */
    public fun onSent(segments: List<PromptSegment>, nowMs: Long, retentionMs: Long) {
        segments.forEach { lastUsedMs[it.prefixHash] = nowMs }
        val oldest = lastUsedMs.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next() > retentionMs) oldest.remove()
    }

    /** Returns the length, in tokens, of the longest prefix of [segments] that is probably cached. */
    public fun cachedTokens(segments: List<PromptSegment>, nowMs: Long, retentionMs: Long): Int {
        val cached = segments.takeWhile { segment ->
            val usedMs = lastUsedMs[segment.prefixHash]
            usedMs != null && nowMs - usedMs <= retentionMs
        }
        return cached.sumOf { it.tokens }
    }

    /** Removes all segments, as after a restart of the engine. */
    public fun clear(): Unit = lastUsedMs.clear()
}
