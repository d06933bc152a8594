package corneltrack.router.relay.streams

import corneltrack.policy.discovery.EndpointDirectory
import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.streams.MAXIMUM_STREAM_AGE_MS
import corneltrack.policy.streams.RecentVersions
import corneltrack.world.PoolId

/**
 * How far the list of endpoints can be relied on.
 *
 * @property current whether what it lacks does not exist.
 * @property seenSinceMs since when no endpoint can have come and gone unseen, in ms of the monotonic clock; null before
 *   the list was read completely for the first time.
 */
internal data class ListCurrency(val current: Boolean, val seenSinceMs: Long?)

/** The versions that endpoints have had of late, as this router has seen them. Confined to the event loop. */
internal class VersionView(private val directory: EndpointDirectory, private val list: () -> ListCurrency) {
    private val versions = RecentVersions()

    /** Records that [endpoint] is listed, if only for a moment. */
    fun onListed(endpoint: KnownEndpoint, nowMs: Long) = versions.observe(endpoint, nowMs)

    /** Returns the pools with several versions and for how long streams of more than one can be taken up, in ms. */
    fun mixedPools(nowMs: Long): Map<PoolId, Long> {
        versions.observe(directory.endpoints.values, nowMs)
        return versions.mixedPools(nowMs)
    }

    /** Whether every version is known that is listed now. */
    val current: Boolean get() = list().current

    /**
     * Returns from when on others must say which versions they have seen, in ms of the monotonic clock: this router has
     * not seen all that can have begun a stream. Returns null if it has, or has not read the list yet.
     */
    fun neededSinceMs(nowMs: Long): Long? = list().seenSinceMs?.takeIf { nowMs - it < MAXIMUM_STREAM_AGE_MS }
}
