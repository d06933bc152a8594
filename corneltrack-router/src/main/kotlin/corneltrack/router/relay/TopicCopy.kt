package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.Confirmation
import corneltrack.policy.discovery.ConfirmationSource
import corneltrack.policy.discovery.TopicWatermark

/**
 * A load of the newest record of each key, in pages.
 *
 * @property from the offset from which the router would have read on without the load.
 * @property changeEnd the offset after the last record that changed the state before the load.
 */
internal class TopicLoad(var startedAt: ClockReading, val from: Long, val changeEnd: Long) {
    /** The keys loaded so far; known keys that are missing at the end have been removed. */
    val keys = HashSet<String>()

    /** The records that changed the state, also those of an attempt that failed halfway. */
    val changes = ArrayList<KeyedRecord>()

    /** The end of the topic at the first page: later records may have been left out and are read afterwards. */
    var resumeOffset: Long? = null

    /** The offset after the last record loaded. */
    var lastEnd = 0L
    var pages = 0

    /** Starts again with the first page. */
    fun restart(at: ClockReading) {
        startedAt = at
        keys.clear()
        resumeOffset = null
        pages = 0
    }
}

/**
 * Holds how far this router has read a topic and which records it can send to its peers.
 *
 * @param onRecord handles a record; returns whether it changed any state.
 */
internal class TopicCopy(private val clock: Clocks, onRecord: (KeyedRecord) -> Boolean) {
    private val deduplicator = RecordDeduplicator(onRecord)
    private val journal = ChangeJournal()

    /** The offset before which this router does not know by itself which records changed the state. */
    private var settledEnd = 0L

    /** The offset from which to read on. */
    var nextOffset = 0L
        private set

    /** The latest time as of which this copy is known to be complete; null before the first complete read. */
    var confirmation: Confirmation? = null

    /**
     * Since when every record has been handled, also those replaced or removed since; null before the first complete
     * read. A load hides what came and went before it.
     */
    var seenSince: ClockReading? = null
        private set

    /** The time of [confirmation]. */
    val asOf: ClockReading? get() = confirmation?.asOf

    /** The end of the topic at the first load, before which keys may have been removed that this router never knew. */
    private var firstLoadEnd: Long? = null

    /** The offset after the last record that changed the state of this router, or of a peer that knew earlier ones. */
    val lastChangeEnd: Long get() = maxOf(deduplicator.lastChangeEnd, firstLoadEnd ?: 0)

    /**
     * The offset after the last record that may change the state of a peer. At least the end of the last load, which
     * shows no records that were replaced or removed before.
     */
    val sharedChangeEnd: Long get() = maxOf(deduplicator.lastChangeEnd, settledEnd)

    /** Starts a load of all records. */
    fun beginLoad(): TopicLoad = TopicLoad(clock(), nextOffset, sharedChangeEnd)

    /** Passes on the records of one page of [load]. */
    fun load(page: TopicResponse.Newest, load: TopicLoad) {
        if (load.resumeOffset == null) load.resumeOffset = page.end
        load.pages++
        page.records.forEach {
            load.keys += it.key
            load.lastEnd = maxOf(load.lastEnd, it.offset + 1)
            if (deduplicator.accept(it)) load.changes += it
        }
    }

    /** Passes on the removals that [load] shows and reads on at its end. */
    fun finish(load: TopicLoad) {
        val end = checkNotNull(load.resumeOffset) { "a load without a page" }
        load.changes += deduplicator.retain(load.keys, end)
        settledEnd = maxOf(end, load.lastEnd)
        firstLoadEnd = firstLoadEnd ?: end
        val known = nextOffset > 0 && settledEnd == end && end > load.from
        journal.restart(settledEnd, if (known) reloadedBatch(load, end) else null, clock().monotonicMs)
        nextOffset = end
        seenSince = load.startedAt
        confirmation = Confirmation(load.startedAt, ConfirmationSource.LOAD, end)
    }

    private fun reloadedBatch(load: TopicLoad, end: Long): RecordBatch {
        val changes = load.changes.filter { it.offset >= load.from }.sortedBy { it.offset }
        return RecordBatch(load.changeEnd, end, changes.map(::SharedRecord), load.from)
    }

    /** Passes on the records of [page], except those that a peer has sent since the read. */
    fun read(page: TopicResponse.Records) {
        val nowMs = clock().monotonicMs
        page.records.filter { it.offset >= nextOffset }.forEach {
            if (deduplicator.accept(it)) journal.add(it, nowMs)
        }
        nextOffset = maxOf(nextOffset, page.next)
    }

    /** Passes on the records of a peer's [batch] if it continues this copy. Returns how many they were. */
    fun take(batch: RecordBatch): Int {
        if (!batch.continues(nextOffset)) return 0
        val nowMs = clock().monotonicMs
        val loaded = batch.latestBase != null
        val records = batch.records.map { it.toKeyedRecord() }.filter { it.offset >= nextOffset }
        if (loaded) {
            seenSince = clock()
            journal.restart(batch.end, batch, nowMs)
        }
        records.forEach {
            deduplicator.accept(it)
            journal.add(it, nowMs)
        }
        settledEnd = maxOf(settledEnd, if (loaded) batch.end else records.lastOrNull()?.let { it.offset + 1 } ?: 0)
        nextOffset = batch.end
        return records.size
    }

    /** Skips the records up to a peer's [watermark] if they are all heartbeats. */
    fun skipHeartbeats(watermark: TopicWatermark) {
        if (watermark.lastChangeEnd <= nextOffset) nextOffset = maxOf(nextOffset, watermark.nextOffset)
    }

    /** Returns the records to send to peers. */
    fun batches(): List<RecordBatch> = journal.batches(nextOffset, clock().monotonicMs)
}
