package corneltrack.policy.discovery

import corneltrack.world.EndpointId
import corneltrack.world.PoolId
import corneltrack.world.routing.EndpointEntry

private const val TOMBSTONE_TTL_MS = 60_000L

/**
 * Holds an endpoint's newest entry.
 *
 * @property coldUntilMs until when it is cold, in ms of the steady clock.
 * @property expiresMs when it is dropped unless it is announced again, in ms of the steady clock; null for never.
 */
public data class KnownEndpoint(val entry: EndpointEntry, val coldUntilMs: Long, val expiresMs: Long? = null)

/** Tells what an announcement changed. */
public enum class DirectoryChange { NONE, ADDED, REPLACED, LEAVING, COLD, LAPSING, LISTED_AGAIN, REMOVED }

/**
 * Keeps the endpoints that the platform lists.
 *
 * Entries may come late: one that an endpoint wrote previous the newest entries one changes nothing. While the store is
 * away, entries expire though their endpoints live; these are kept until a grace time after its return, in which living
 * endpoints are listed again. Not thread-safe.
 *
 * @param graceMs how long after the store's return endpoints are listed again, in ms.
 */
public class EndpointDirectory(private val graceMs: Long) {
    private data class Tombstone(val entry: EndpointEntry, val removedMs: Long)

    private val entries = HashMap<EndpointId, KnownEndpoint>()
    private val tombstones = HashMap<EndpointId, Tombstone>()

    /** The endpoints by name. */
    public val endpoints: Map<EndpointId, KnownEndpoint> get() = entries

    /** Returns the endpoints of [pool]. */
    public fun inPool(pool: PoolId): List<KnownEndpoint> = entries.values.filter { it.entry.endpoint.pool == pool }

    /** Takes in what an endpoint said of itself. */
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
     * Takes in that the entry of [id] was removed or names no endpoint any more.
     *
     * @param storeRecoveredMs when the store last answered again after it had not, in ms of the steady clock, or null where
     *   it always did.
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

    /** Drops the entries whose grace time is over and returns their names. */
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
