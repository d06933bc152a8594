package corneltrack.policy.placement

/** The share of an engine's KV cache that running requests leave to cached prefixes. */
private const val PREFIX_CACHE_SHARE = 0.5

/** The share of an engine's tokens that go through prefill, as opposed to decoded or cached tokens. */
private const val PREFILL_SHARE = 0.6
private const val MS_PER_SECOND = 1_000.0
private const val MINIMUM_RETENTION_MS = 3_000L
private const val MAXIMUM_RETENTION_MS = 60_000L
private const val DEFAULT_RETENTION_MS = 15_000L

/**
 * Estimates how long an engine keeps an unused prefix in its cache, in ms.
 *
 * @param kvCacheTokens the tokens that the engine's KV cache holds; 0 if unknown.
 * @param tokensPerSecond the engine's throughput as in the cost of a request; 0 if unknown.
 */
public fun retentionMs(kvCacheTokens: Long, tokensPerSecond: Double): Long {
    if (tokensPerSecond <= 0 || kvCacheTokens <= 0) return DEFAULT_RETENTION_MS
    val seconds = PREFIX_CACHE_SHARE * kvCacheTokens / (PREFILL_SHARE * tokensPerSecond)
    return (seconds * MS_PER_SECOND).toLong().coerceIn(MINIMUM_RETENTION_MS, MAXIMUM_RETENTION_MS)
}
