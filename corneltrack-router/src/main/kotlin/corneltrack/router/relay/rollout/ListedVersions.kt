package corneltrack.router.relay.rollout

import corneltrack.policy.discovery.EndpointDirectory
import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.world.PoolId

/**
 * The versions that the live endpoints of a pool have.
 *
 * @property confirmed those first listed before the operators' topic was last read, so that no order for them is
 *   unknown.
 */
internal data class VersionList(val all: Set<String>, val confirmed: Set<String>)

/**
 * Remembers when each version of a pool was first listed. Only used on the event loop.
 *
 * @param orders the operators' topic.
 */
internal class ListedVersions(private val directory: EndpointDirectory, private val orders: TopicConfirmation) {
    private data class PoolVersion(val pool: PoolId, val version: String)

    private val firstListedMs = HashMap<PoolVersion, Long>()

    /** Returns the live endpoints of [pool]. */
    fun endpoints(pool: PoolId): List<KnownEndpoint> = directory.inPool(pool).filter { it.entry.live }

    /** Returns the versions of [pool]. Reads the end of the operators' topic if one of them is new. */
    fun of(pool: PoolId, nowMs: Long): VersionList {
        val all = endpoints(pool).mapTo(HashSet()) { it.entry.version }
        val confirmed = all.filterTo(HashSet()) { version ->
            orders.covers(firstListedMs.getOrPut(PoolVersion(pool, version)) { nowMs })
        }
        if (confirmed.size < all.size) orders.request()
        return VersionList(all, confirmed)
    }
}
