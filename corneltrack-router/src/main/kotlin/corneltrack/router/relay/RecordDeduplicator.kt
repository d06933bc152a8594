package corneltrack.router.relay

import corneltrack.policy.discovery.TopicPosition
import corneltrack.wire.event
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

private val logger = LogManager.getLogger("corneltrack.router.relay.RecordDeduplicator")

/**
 * Passes on the records of a keyed topic without repetition, and those of each key in the order in which the store
 * wrote them.
 *
 * Needed because a full load may return records that have been read before, and the reads after it start at the end of
 * its first page and may return records of its later pages once more. After the store came back from an older copy, a
 * load may also return records older than those read before the loss: see [contradicts].
 *
 * @param onRecord handles a record; returns whether it changed any state.
 */
internal class RecordDeduplicator(private val onRecord: (KeyedRecord) -> Boolean) {
    /** The last record of each key. */
    val known = KnownRecords()

    /** The position after the last record that changed any state. */
    var lastChangeEnd: TopicPosition = TopicPosition.START
        private set

    /**
     * Passes on [record] unless it or a later one of the same key has been passed on. Returns whether it changed any
     * state, here or at peers that know only what the store has: the first record of a key in an era counts as a
     * change, as peers may have loaded a copy of the store without it.
     */
    fun accept(record: KeyedRecord, nowMs: Long): Boolean {
        val last = known.of(record.key, nowMs)
        if (last != null && !record.position.supersedes(last.position)) {
            if (record.position != last.position) logPassedOver(record, last.position)
            return false
        }
        known.put(record, nowMs)
        val writtenAgain = last != null && record.position.era.isAfter(last.position.era)
        val handled = if (writtenAgain && record.value contentEquals last.value) false else handle(record)
        val changed = handled || writtenAgain
        if (changed && !lastChangeEnd.reaches(record.position.next)) lastChangeEnd = record.position.next
        return changed
    }

    /**
     * Whether [record] has other content than this router knows from an older era, and may be what the store had before
     * the records that it lost. The copy that the store came back from ends where the losses begin, so that a record at
     * the offset of the known one or above it was written since.
     */
    fun contradicts(record: KeyedRecord, nowMs: Long): Boolean {
        val last = known.of(record.key, nowMs) ?: return false
        val mayBeOlder = record.position.era.isAfter(last.position.era) && record.position.offset < last.position.offset
        return mayBeOlder && !(record.value contentEquals last.value)
    }

    private fun logPassedOver(record: KeyedRecord, last: TopicPosition) = logger.event("record_passed_over") {
        field("key", record.key)
        field("offset", record.position.offset)
        field("known_offset", last.offset)
        field("known_era", last.era)
    }

    /** A record that its handler fails on must not end the following of all others. */
    private fun handle(record: KeyedRecord): Boolean = runCatching { onRecord(record) }.getOrElse { fault ->
        logger.event("record_failed", Level.ERROR) {
            field("key", record.key)
            field("offset", record.position.offset)
            field("reason", fault)
        }
        false
    }

    /**
     * Passes on a removal for each key that is not in [keys] and whose last record is before [end] in the same era.
     * Returns those that changed any state.
     */
    fun retain(keys: Set<String>, end: TopicPosition, nowMs: Long): List<KeyedRecord> {
        return remove(known.missing(keys, end), end, nowMs)
    }

    /** Passes on a removal for each key whose last record is of an older era than that of [end]. */
    fun removeOlderEras(end: TopicPosition, nowMs: Long): List<KeyedRecord> =
        remove(known.olderThan(end.era), end, nowMs)

    private fun remove(keys: Set<String>, end: TopicPosition, nowMs: Long): List<KeyedRecord> {
        val position = end.copy(offset = end.offset - 1)
        return keys.toList().map { KeyedRecord(it, null, position) }.filter { accept(it, nowMs) }
    }
}
