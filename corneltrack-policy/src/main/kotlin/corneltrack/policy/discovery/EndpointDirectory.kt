package corneltrack.policy.discovery

import corneltrack.world.EndpointId
import corneltrack.world.PoolId
import corneltrack.world.routing.EndpointEntry

private const val TOMBSTONE_MS = 60_000L

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
 * Entries may come late: one that an endpoint wrote before the newest known one changes nothing. While the store is
 * away, entries expire though their endpoints live; these are kept until a grace time after its return, in which living
 * endpoints are listed again. Not thread-safe.
 *
 * @param graceMs how long after the store's return endpoints are listed again, in ms.
 */
public class EndpointDirectory(private val graceMs: Long) {
    private data class Gone(val last: EndpointEntry, val atMs: Long)

    private val known = HashMap<EndpointId, KnownEndpoint>()
    private val gone = HashMap<EndpointId, Gone>()

    /** The endpoints by name. */
    public val endpoints: Map<EndpointId, KnownEndpoint> get() = known

    /** Returns the endpoints of [pool]. */
    public fun inPool(pool: PoolId): List<KnownEndpoint> = known.values.filter { it.entry.endpoint.pool == pool }

    /** Takes in what an endpoint said of itself. */
    public fun onEntry(entry: EndpointEntry, nowMs: Long): DirectoryChange {
        val id = entry.endpoint.id
        val before = known[id]
        val last = before?.entry ?: gone[id]?.last
        if (last != null && entry.isOlderThan(last)) {
            return DirectoryChange.NONE
        }
        gone.remove(id)
        val coldUntilMs = if (entry.coldStartRemainingMs > 0) nowMs + entry.coldStartRemainingMs else Long.MIN_VALUE
        known[id] = KnownEndpoint(entry, coldUntilMs)
        return change(before, entry, nowMs)
    }

    /**
     * Takes in that the entry of [id] was removed or names no endpoint any more.
     *
     * @param storeRecoveredMs when the store last answered again after it had not, in ms of the steady clock, or null where
     *   it always did.
     */
    public fun onRemoved(id: EndpointId, storeRecoveredMs: Long?, nowMs: Long): DirectoryChange {
        val before = known[id]
        val listedAgainMs = storeRecoveredMs?.plus(graceMs) ?: Long.MIN_VALUE
        val expired = before != null && before.entry.live && nowMs < listedAgainMs
        return when {
            before == null -> DirectoryChange.NONE
            expired -> DirectoryChange.LAPSING.also {
                if (before.expiresMs == null) known[id] = before.copy(expiresMs = listedAgainMs)
            }
            else -> DirectoryChange.REMOVED.also { remove(id, nowMs) }
        }
    }

    /** Drops the entries whose grace time is over and returns their names. */
    public fun expire(nowMs: Long): List<EndpointId> {
        gone.values.removeIf { nowMs - it.atMs > TOMBSTONE_MS }
        val lapsed = known.filterValues { it.expiresMs != null && nowMs >= it.expiresMs }.keys.toList()
        lapsed.forEach { remove(it, nowMs) }
        return lapsed
    }

    private fun remove(id: EndpointId, nowMs: Long) {
        known.remove(id)?.let { gone[id] = Gone(it.entry, nowMs) }
    }

    private fun change(before: KnownEndpoint?, entry: EndpointEntry, nowMs: Long): DirectoryChange = when {
        before == null -> DirectoryChange.ADDED
        before.entry.endpoint.address != entry.endpoint.address || before.entry.startedAtMs != entry.startedAtMs ->
            DirectoryChange.REPLACED
        before.entry.live && !entry.live -> DirectoryChange.LEAVING
        before.expiresMs != null -> DirectoryChange.LISTED_AGAIN
        entry.coldStartRemainingMs > 0 && before.coldUntilMs <= nowMs -> DirectoryChange.COLD
        else -> DirectoryChange.NONE
    }
}
