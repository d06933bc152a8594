package corneltrack.policy.placement

private const val ACCESS_ORDER_LOAD = 0.75f
private const val INITIAL_PARTS = 64

/**
 * Remembers which parts of prompts an engine was sent lately and is likely to have in its cache.
 *
 * The engine does not say what it keeps; a part is taken as kept for the retention time after its last use. Not
 * thread-safe.
 */
public class PrefixMemory {
    private val lastUse = LinkedHashMap<Long, Long>(INITIAL_PARTS, ACCESS_ORDER_LOAD, true)

    /** Notes that the engine was sent [parts]. */
    public fun onSent(parts: List<PromptPart>, nowMs: Long, retentionMs: Long) {
        parts.forEach { lastUse[it.chain] = nowMs }
        val oldest = lastUse.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next() > retentionMs) oldest.remove()
    }

    /** Returns how many tokens at the start of [parts] the engine is likely to have. */
    public fun keptTokens(parts: List<PromptPart>, nowMs: Long, retentionMs: Long): Int {
        val kept = parts.takeWhile { part ->
            val usedMs = lastUse[part.chain]
            usedMs != null && nowMs - usedMs <= retentionMs
        }
        return kept.sumOf { it.tokens }
    }

    /** Forgets everything, as after a restart of the engine. */
    public fun clear(): Unit = lastUse.clear()
}
