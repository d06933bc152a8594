package corneltrack.policy.placement

/** A prefix that was confirmed this recently is not reported again, which keeps reports of popular prefixes few. */
private const val REPORT_INTERVAL_MS = 1_500L

/** Bounds the estimate of an engine that this router sends nothing to. */
private const val MAXIMUM_KEPT_MS = 60_000L

/**
 * Estimates which prompt segments an engine holds in its prefix cache.
 *
 * Engines do not report the contents of their caches. A segment counts as cached for the retention time after this
 * router last sent it to the engine, or after a first event showed that the engine has processed it, for this router or
 * for a peer that reports so. Not thread-safe.
 *
 * @param capacity bounds what the estimates of all engines hold.
 */
public class PrefixCacheEstimate(private val capacity: PrefixCapacity = PrefixCapacity(Int.MAX_VALUE)) {
    /** The times, in ms, at which a segment was last sent and last confirmed by a first event. */
    private data class Use(val usedMs: Long, val confirmedMs: Long)

    /** The last use of each segment by its prefix hash, least recently used first. */
    private val uses = LinkedHashMap<Long, Use>()

    init {
        capacity.onEstimateAdded()
    }

    /**
     * Records that [segments] were sent to the engine.
     *
     * @param retentionMs how long the engine is expected to keep an unused segment, in ms.
     */
    public fun onSent(segments: List<PromptSegment>, nowMs: Long, retentionMs: Long) {
        changingSize {
            segments.forEach { record(it.prefixHash, Use(nowMs, uses[it.prefixHash]?.confirmedMs ?: NEVER_MS)) }
        }
        removeUnused(nowMs, retentionMs)
    }

    /**
     * Records that the engine has the segments with [prefixHashes], since a request that contains them got its first
     * event. Returns those of them that had not been confirmed lately, which peers should be told.
     */
    public fun onConfirmed(prefixHashes: List<Long>, nowMs: Long): List<Long> {
        val news = prefixHashes.filter { nowMs - (uses[it]?.confirmedMs ?: NEVER_MS) > REPORT_INTERVAL_MS }
        changingSize { prefixHashes.forEach { record(it, Use(nowMs, nowMs)) } }
        removeUnused(nowMs, MAXIMUM_KEPT_MS)
        return news
    }

    /** Returns the length, in tokens, of the longest prefix of [segments] that is probably cached. */
    public fun cachedTokens(segments: List<PromptSegment>, nowMs: Long, retentionMs: Long): Int =
        prefixTokens(segments) { nowMs - it.usedMs <= retentionMs }

    /** Returns the length, in tokens, of the longest prefix of [segments] that a first event has confirmed. */
    internal fun confirmedTokens(segments: List<PromptSegment>, nowMs: Long, retentionMs: Long): Int =
        prefixTokens(segments) { it.confirmedMs != NEVER_MS && nowMs - it.usedMs <= retentionMs }

    /** Records that the engine turned out to lack the segments with [prefixHashes]. */
    public fun onMissing(prefixHashes: List<Long>): Unit = changingSize { prefixHashes.forEach { uses.remove(it) } }

    /** Forgets all segments and leaves the capacity to others, since the engine is gone. */
    public fun close() {
        changingSize { uses.clear() }
        capacity.onEstimateRemoved()
    }

    private fun prefixTokens(segments: List<PromptSegment>, counts: (Use) -> Boolean): Int =
        segments.takeWhile { segment -> uses[segment.prefixHash]?.let(counts) ?: false }.sumOf { it.tokens }

    /** Moves the segment to the end of the order of use. */
    private fun record(prefixHash: Long, use: Use) {
        uses.remove(prefixHash)
        uses[prefixHash] = use
    }

    /** Forgets what is too old, and what was used least recently while there is no room for it. */
    private fun removeUnused(nowMs: Long, keptMs: Long) {
        val oldest = uses.values.iterator()
        while (oldest.hasNext()) {
            val kept = nowMs - oldest.next().usedMs <= keptMs
            if (kept && !capacity.isShort(uses.size)) break
            oldest.remove()
            capacity.onGrown(-1)
        }
    }

    private inline fun changingSize(change: () -> Unit) {
        val before = uses.size
        change()
        capacity.onGrown(uses.size - before)
    }

    private companion object {
        /** Long before any point in time, without overflow in a difference. */
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}
