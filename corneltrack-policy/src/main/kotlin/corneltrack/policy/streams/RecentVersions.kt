package corneltrack.policy.streams

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.world.PoolId

/** The longest time for which callers wait for a stream, over all their tries, in ms. */
public const val MAXIMUM_STREAM_AGE_MS: Long = 20_000L

/**
 * Tracks which versions of the endpoints' software may have begun a stream that callers can still take up.
 *
 * Not thread-safe. Times are in ms of the monotonic clock.
 */
public class RecentVersions {
    private val lastListedMs = HashMap<PoolId, HashMap<String, Long>>()

    /** Records that [endpoint] is listed now. */
    public fun observe(endpoint: KnownEndpoint, nowMs: Long) {
        lastListedMs.getOrPut(endpoint.entry.endpoint.pool) { HashMap() }[endpoint.entry.version] = nowMs
    }

    /** Records the [endpoints] that are listed now. */
    public fun observe(endpoints: Collection<KnownEndpoint>, nowMs: Long) {
        endpoints.forEach { observe(it, nowMs) }
        lastListedMs.values.forEach { versions -> versions.values.removeIf { nowMs - it >= MAXIMUM_STREAM_AGE_MS } }
        lastListedMs.values.removeIf { it.isEmpty() }
    }

    /** Returns the pools with several versions and for how long streams of more than one can be taken up, in ms. */
    public fun mixedPools(nowMs: Long): Map<PoolId, Long> = lastListedMs.filterValues { it.size > 1 }
        .mapValues { (_, versions) -> versions.values.sortedDescending()[1] + MAXIMUM_STREAM_AGE_MS - nowMs }
}
