package corneltrack.router.relay

/**
 * Passes on each record of a keyed topic once, in the order of each key's offsets.
 *
 * @param onRecord takes a record; returns whether it changed anything.
 */
internal class RecordDeduplicator(private val onRecord: (KeyedRecord) -> Boolean) {
    private val offsets = HashMap<String, Long>()

    /** The offset after the last record that changed anything. */
    var lastChangeEnd: Long = 0
        private set

    /** Takes in [record] unless it is known. */
    fun accept(record: KeyedRecord) {
        val last = offsets[record.key]
        if (last != null && record.offset <= last) return
        if (record.value == null) offsets.remove(record.key) else offsets[record.key] = record.offset
        if (onRecord(record)) lastChangeEnd = maxOf(lastChangeEnd, record.offset + 1)
    }

    /** Takes in that of the keys known before offset [end] only [keys] are left. */
    fun retain(keys: Set<String>, end: Long) {
        offsets.filter { (key, offset) -> key !in keys && offset < end }.keys.toList()
            .forEach { accept(KeyedRecord(it, null, end - 1)) }
    }
}
