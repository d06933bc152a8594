package corneltrack.policy.discovery

import corneltrack.world.EndpointId
import corneltrack.world.PoolId
import corneltrack.world.routing.EndpointEntry

/** The time for which a removed entry is kept, in ms, so that an older entry that arrives late does not restore it. */
private const val TOMBSTONE_TTL_MS = 60_000L

/**
 * Holds the newest entry of an endpoint.
 *
 * @property coldUntilMs when its cold start ends, in ms of the monotonic clock.
 * @property expiresMs when the entry expires unless the endpoint is listed again, in ms of the monotonic clock; null if
 *   it does not expire.
 */
public data class KnownEndpoint(val entry: EndpointEntry, val coldUntilMs: Long, val expiresMs: Long? = null)

/** The effect of an entry or a removal on the directory. */
public enum class DirectoryChange {
    /** Nothing changed: the entry is outdated or a mere heartbeat, or the removed endpoint is not known. */
    NONE,

    /** The endpoint is new. */
    ADDED,

    /** The endpoint restarted or has another address. */
    REPLACED,

    /** The endpoint no longer accepts requests and only finishes those that it has. */
    LEAVING,

    /** The endpoint entered a cold start. */
    COLD,

    /** The entry was removed shortly after the store recovered and is kept for the grace time. */
    LAPSING,

    /** The endpoint was listed again within the grace time. */
    LISTED_AGAIN,

    /** The entry was removed. */
    REMOVED,
}

/**
 * Holds the endpoints that the platform lists.
 *
 * Entries may arrive late; one that is older than the newest known entry of its endpoint is ignored. While the store is
 * unavailable, entries expire in it although their endpoints are live. After the store has recovered, removed entries
 * are therefore kept for a grace time, within which live endpoints are listed again. Not thread-safe.
 *
 * @param graceMs the time after the recovery of the store within which live endpoints are listed again, in ms.
 */
public class EndpointDirectory(private val graceMs: Long) {
    private data class Tombstone(val entry: EndpointEntry, val removedMs: Long)

    private val entries = HashMap<EndpointId, KnownEndpoint>()
    private val tombstones = HashMap<EndpointId, Tombstone>()

    /** The endpoints by name. */
    public val endpoints: Map<EndpointId, KnownEndpoint> get() = entries

    /** Returns the endpoints of [pool]. */
    public fun inPool(pool: PoolId): List<KnownEndpoint> = entries.values.filter { it.entry.endpoint.pool == pool }

    /** Records an entry that an endpoint wrote. */
    public fun onEntry(entry: EndpointEntry, nowMs: Long): DirectoryChange {
        val id = entry.endpoint.id
        val previous = entries[id]
        val last = previous?.entry ?: tombstones[id]?.entry
        if (last != null && entry.isOlderThan(last)) {
            return DirectoryChange.NONE
        }
        tombstones.remove(id)
        val coldUntilMs = if (entry.coldStartRemainingMs > 0) nowMs + entry.coldStartRemainingMs else Long.MIN_VALUE
        entries[id] = KnownEndpoint(entry, coldUntilMs)
        return change(previous, entry, nowMs)
    }

    /**
     * Records that the entry of [id] was removed or is no longer valid.
     *
     * @param storeRecoveredMs when the store last became available again, in ms of the monotonic clock; null if it was
     *   always available.
     */
    public fun onRemoved(id: EndpointId, storeRecoveredMs: Long?, nowMs: Long): DirectoryChange {
        val previous = entries[id]
        val graceEndsMs = storeRecoveredMs?.plus(graceMs) ?: Long.MIN_VALUE
        val mayReturn = previous != null && previous.entry.live && nowMs < graceEndsMs
        return when {
            previous == null -> DirectoryChange.NONE
            mayReturn -> DirectoryChange.LAPSING.also {
                if (previous.expiresMs == null) entries[id] = previous.copy(expiresMs = graceEndsMs)
            }
            else -> DirectoryChange.REMOVED.also { remove(id, nowMs) }
        }
    }

    /** Removes the entries whose grace time is over and returns their endpoints. */
    public fun expire(nowMs: Long): List<EndpointId> {
        tombstones.values.removeIf { nowMs - it.removedMs > TOMBSTONE_TTL_MS }
        val expiredIds = entries.filterValues { it.expiresMs != null && nowMs >= it.expiresMs }.keys.toList()
        expiredIds.forEach { remove(it, nowMs) }
        return expiredIds
    }

    private fun remove(id: EndpointId, nowMs: Long) {
        entries.remove(id)?.let { tombstones[id] = Tombstone(it.entry, nowMs) }
    }

    private fun change(previous: KnownEndpoint?, entry: EndpointEntry, nowMs: Long): DirectoryChange = when {
        previous == null -> DirectoryChange.ADDED
        previous.entry.endpoint.address != entry.endpoint.address || previous.entry.startedAtMs != entry.startedAtMs ->
            DirectoryChange.REPLACED
        previous.entry.live && !entry.live -> DirectoryChange.LEAVING
        previous.expiresMs != null -> DirectoryChange.LISTED_AGAIN
        entry.coldStartRemainingMs > 0 && previous.coldUntilMs <= nowMs -> DirectoryChange.COLD
        else -> DirectoryChange.NONE
    }
}
