package corneltrack.router.relay

import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.discovery.TopicPosition

/** How long a removal is remembered, in ms: far longer than the time that a copy of the store lags behind it. */
private const val REMOVAL_KEPT_MS = 60_000L

/**
 * The last record that a router knows of a key.
 *
 * @property value null if the key was removed.
 */
internal class KnownRecord(val position: TopicPosition, val value: ByteArray?)

/** The last record of each key of a topic, and the removals of the last minute. */
internal class KnownRecords {
    private class Removal(val position: TopicPosition, val readMs: Long)

    private val records = HashMap<String, KnownRecord>()

    /** The keys removed lately, the latest last. */
    private val removals = LinkedHashMap<String, Removal>()

    /** Returns the last record of [key], or null if none is known. */
    fun of(key: String, nowMs: Long): KnownRecord? =
        records[key] ?: removals[key]?.takeIf { it.isRecent(nowMs) }?.let { KnownRecord(it.position, null) }

    /** Replaces the last record of a key. */
    fun put(record: KeyedRecord, nowMs: Long) {
        removals.remove(record.key)
        if (record.value == null) {
            records.remove(record.key)
            removals.keys.removeAll(removals.entries.takeWhile { !it.value.isRecent(nowMs) }.map { it.key }.toSet())
            removals[record.key] = Removal(record.position, nowMs)
        } else {
            records[record.key] = KnownRecord(record.position, record.value)
        }
    }

    /** Whether the store, in [era], has content for [key], and none older than is known here. */
    fun isRecorded(key: String, era: StoreEra): Boolean = records[key]?.position?.era == era

    /** Returns the keys whose content was last read in an older era than [era]. */
    fun olderThan(era: StoreEra): Set<String> = records.filterValues { era.isAfter(it.position.era) }.keys

    /** Returns the keys other than [keys] whose last record is before [end] in the same era. */
    fun missing(keys: Set<String>, end: TopicPosition): Set<String> =
        records.filter { (key, last) -> key !in keys && last.position.precedes(end) }.keys

    private fun Removal.isRecent(nowMs: Long) = nowMs - readMs <= REMOVAL_KEPT_MS
}
