package corneltrack.router.relay

import corneltrack.wire.event
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

private val logger = LogManager.getLogger("corneltrack.router.relay.RecordDeduplicator")

/**
 * Passes on the records of a keyed topic without repetition, and those of each key in the order of their offsets.
 *
 * Needed because a full load may return records that have been read before, and the reads after it start at the end of
 * its first page and may return records of its later pages once more.
 *
 * @param onRecord handles a record; returns whether it changed any state.
 */
internal class RecordDeduplicator(private val onRecord: (KeyedRecord) -> Boolean) {
    private val offsets = HashMap<String, Long>()

    /** The offset after the last record that changed any state. */
    var lastChangeEnd: Long = 0
        private set

    /**
     * Passes on [record] unless it or a later one of the same key has been passed on. Returns whether it changed any
     * state.
     */
    fun accept(record: KeyedRecord): Boolean {
        val last = offsets[record.key]
        if (last != null && record.offset <= last) {
            if (record.offset < last) logPassedOver(record, last)
            return false
        }
        if (record.value == null) offsets.remove(record.key) else offsets[record.key] = record.offset
        return handle(record).also { if (it) lastChangeEnd = maxOf(lastChangeEnd, record.offset + 1) }
    }

    private fun logPassedOver(record: KeyedRecord, last: Long) = logger.event("record_passed_over") {
        field("key", record.key)
        field("offset", record.offset)
        field("known_offset", last)
    }

    /** A record that its handler fails on must not end the following of all others. */
    private fun handle(record: KeyedRecord): Boolean = runCatching { onRecord(record) }.getOrElse { fault ->
        logger.event("record_failed", Level.ERROR) {
            field("key", record.key)
            field("offset", record.offset)
            field("reason", fault)
        }
        false
    }

    /**
     * Passes on a removal for each key that is not in [keys] and whose last record is before offset [end]. Returns
     * those that changed any state.
     */
    fun retain(keys: Set<String>, end: Long): List<KeyedRecord> =
        offsets.filter { (key, offset) -> key !in keys && offset < end }.keys
            .map { KeyedRecord(it, null, end - 1) }.filter(::accept)
}
