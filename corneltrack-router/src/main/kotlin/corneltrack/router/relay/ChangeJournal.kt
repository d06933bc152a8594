package corneltrack.router.relay

import corneltrack.policy.discovery.TopicPosition

/** How long records are sent to peers, in ms: with at least four watermarks, so that a lost datagram costs no read. */
private const val SHARED_MS = 1_500L

/** Leaves room for the watermarks in a datagram of 16,384 bytes. */
private const val MAXIMUM_BATCH_BYTES = 12_000

/** Bounds the memory and the datagrams of a topic that changes fast; peers read older records from the store. */
private const val MAXIMUM_RECORDS = 300

/** Keeps the records of a topic that changed the state lately, to send them to peers. */
internal class ChangeJournal {
    private class Entry(val record: KeyedRecord, val addedMs: Long)

    private val entries = ArrayDeque<Entry>()

    /** The position from which [entries] contains every record that changed the state. */
    private var base = TopicPosition.START
    private var reload: RecordBatch? = null
    private var reloadedMs = 0L

    /** Adds [record], which changed the state. */
    fun add(record: KeyedRecord, nowMs: Long) {
        if (!record.position.reaches(base)) return
        entries += Entry(record, nowMs)
        prune(nowMs)
    }

    /**
     * Starts again at [from], as all records before have been loaded without their history.
     *
     * @param loaded the records that changed the state in this load, or null if peers can't use them.
     */
    fun restart(from: TopicPosition, loaded: RecordBatch?, nowMs: Long) {
        entries.clear()
        base = from
        reload = loaded?.takeIf { it.bytes <= MAXIMUM_BATCH_BYTES }
        reloadedMs = nowMs
    }

    /**
     * Returns the records to send, in batches that each fit into a datagram.
     *
     * @param end the position up to which the topic has been read.
     */
    fun batches(end: TopicPosition, nowMs: Long): List<RecordBatch> {
        prune(nowMs)
        val loaded = reload?.takeIf { nowMs - reloadedMs <= SHARED_MS }
        return listOfNotNull(loaded) + split(end)
    }

    private fun split(end: TopicPosition): List<RecordBatch> {
        val batches = ArrayList<RecordBatch>()
        val pending = ArrayList<SharedRecord>()
        var pendingBytes = 0
        var from = base

        fun close(at: TopicPosition, next: TopicPosition) {
            if (pending.isNotEmpty()) {
                batches += RecordBatch(from.offset, at.offset, pending.toList(), era = from.era)
            }
            pending.clear()
            pendingBytes = 0
            from = next
        }
        entries.map { it.record }.forEach { record ->
            val bytes = record.sharedBytes
            if (pendingBytes + bytes > MAXIMUM_BATCH_BYTES) close(record.position, record.position)
            if (bytes > MAXIMUM_BATCH_BYTES) {
                from = record.position.next
            } else {
                pending += SharedRecord(record)
                pendingBytes += bytes
            }
        }
        close(end, end)
        return batches
    }

    private fun prune(nowMs: Long) {
        while (entries.size > MAXIMUM_RECORDS || isOutdated(entries.firstOrNull(), nowMs)) {
            base = entries.removeFirst().record.position.next
        }
    }

    private fun isOutdated(entry: Entry?, nowMs: Long) = entry != null && nowMs - entry.addedMs > SHARED_MS
}
