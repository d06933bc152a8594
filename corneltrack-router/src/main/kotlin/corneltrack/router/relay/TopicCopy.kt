package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.Confirmation
import corneltrack.policy.discovery.ConfirmationSource
import corneltrack.policy.discovery.TopicPosition
import corneltrack.policy.discovery.TopicWatermark

/**
 * A load of the newest record of each key, in pages.
 *
 * @property from the position from which the router would have read on without the load.
 * @property changeEnd the position after the last record that changed the state before the load.
 */
internal class TopicLoad(var startedAt: ClockReading, val from: TopicPosition, val changeEnd: TopicPosition) {
    /** The keys loaded so far; known keys that are missing at the end have been removed. */
    val keys = HashSet<String>()

    /** The records that changed the state, also those of an attempt that failed halfway. */
    val changes = ArrayList<KeyedRecord>()

    /** The records that contradict what this router knows from an older era of the store. */
    val heldBack = ArrayList<KeyedRecord>()

    /** The end of the topic at the first page: later records may have been left out and are read afterwards. */
    var resume: TopicPosition? = null

    /** The position after the last record loaded. */
    var lastEnd = from
    var pages = 0

    /** Whether the load is the first one of an era of the store that followed one that the router knew. */
    var beginsEra = false

    /** Whether the load is the first one of this process. */
    var isFirst = false

    /** Starts again with the first page. */
    fun restart(at: ClockReading) {
        startedAt = at
        keys.clear()
        heldBack.clear()
        resume = null
        lastEnd = from
        pages = 0
    }
}

/**
 * Holds how far this router has read a topic and which records it can send to its peers.
 *
 * @param reconciles returns whether the handler of the record of a key tells older content from newer by itself, so
 *   that none needs to be held back after the store came back from an older copy.
 * @param onRecord handles a record; returns whether it changed any state.
 */
internal class TopicCopy(
    private val clock: Clocks,
    private val reconciles: (key: String) -> Boolean = { false },
    onRecord: (KeyedRecord) -> Boolean,
) {
    private val deduplicator = RecordDeduplicator(onRecord)
    private val journal = ChangeJournal()
    private val lost = LostRecords(deduplicator)

    /** The position before which this router does not know by itself which records changed the state. */
    private var settledEnd = TopicPosition.START

    /** The last record of each key. */
    val records: KnownRecords get() = deduplicator.known

    /** The position from which to read on. */
    var next = TopicPosition.START
        private set

    /** The latest time as of which this copy is known to be complete; null before the first complete read. */
    var confirmation: Confirmation? = null
        private set

    /**
     * Since when every record has been handled, also those replaced or removed since; null before the first complete
     * read. A load hides what came and went before it.
     */
    var seenSince: ClockReading? = null
        private set

    /** The time of [confirmation]. */
    val asOf: ClockReading? get() = confirmation?.asOf

    /** The end of the topic at the first load of the era: keys that this router never knew may have been removed. */
    private var firstLoadEnd: TopicPosition? = null

    /** The position after the last record that changed the state of this router, or of a peer that knew earlier. */
    val lastChangeEnd: TopicPosition get() = laterChange(firstLoadEnd ?: next.copy(offset = 0))

    /**
     * The position after the last record that may change the state of a peer. At least the end of the last load, which
     * shows no records that were replaced or removed before.
     */
    val sharedChangeEnd: TopicPosition get() = laterChange(settledEnd)

    private fun laterChange(known: TopicPosition): TopicPosition {
        val last = deduplicator.lastChangeEnd
        return when {
            // A load of a newer era is under way; peers of this one must not rely on it.
            last.era.isAfter(next.era) -> next
            known.precedes(last) -> last
            else -> known
        }
    }

    /** Records that the copy is complete as of a time. */
    fun confirm(confirmed: Confirmation) {
        confirmation = confirmed
        lost.settle(confirmed.asOf, next, clock().monotonicMs)
    }

    /** Starts a load of all records. */
    fun beginLoad(): TopicLoad = TopicLoad(clock(), next, sharedChangeEnd)

    /** Passes on the records of one page of [load]. */
    fun load(page: TopicResponse.Newest, load: TopicLoad) {
        val nowMs = clock().monotonicMs
        if (load.resume == null) load.resume = page.end
        val mayBeOlder = lost.isOpen || page.end.era.isAfter(next.era)
        load.pages++
        page.records.forEach {
            load.keys += it.key
            if (it.position.next.supersedes(load.lastEnd)) load.lastEnd = it.position.next
            if (mayBeOlder && deduplicator.contradicts(it, nowMs) && !reconciles(it.key)) {
                load.heldBack += it
            } else if (deduplicator.accept(it, nowMs)) {
                load.changes += it
            }
        }
    }

    /** Passes on the removals that [load] shows and reads on at its end. */
    fun finish(load: TopicLoad) {
        val end = checkNotNull(load.resume) { "a load without a page" }
        val nowMs = clock().monotonicMs
        // An attempt at the first load may have read records of an older era.
        val hadRecords = confirmation != null || records.olderThan(end.era).isNotEmpty()
        load.beginsEra = hadRecords && end.era.isAfter(next.era)
        load.isFirst = confirmation == null
        load.changes += deduplicator.retain(load.keys, end, nowMs)
        lost.onLoad(load)
        settledEnd = if (load.lastEnd.supersedes(end)) load.lastEnd else end
        if (firstLoadEnd == null || lost.isOpen) firstLoadEnd = end
        // What is known as removed from an older era may have been removed again since, which no load shows to peers.
        val known = next.offset > 0 && settledEnd == end && load.from.precedes(end) && !lost.isOpen
        journal.restart(settledEnd, if (known) reloadedBatch(load, end) else null, nowMs)
        next = end
        seenSince = load.startedAt
        confirm(Confirmation(load.startedAt, ConfirmationSource.LOAD, end))
    }

    private fun reloadedBatch(load: TopicLoad, end: TopicPosition): RecordBatch {
        val changes = load.changes.filter { it.position.reaches(load.from) }.sortedBy { it.position.offset }
        return RecordBatch(load.changeEnd.offset, end.offset, changes.map(::SharedRecord), load.from.offset, end.era)
    }

    /** Passes on the records of [page], except those that a peer has sent since the read. */
    fun read(page: TopicResponse.Records) {
        val nowMs = clock().monotonicMs
        page.records.filter { it.position.reaches(next) }.forEach {
            if (deduplicator.accept(it, nowMs)) journal.add(it, nowMs)
        }
        if (next.precedes(page.next)) next = page.next
    }

    /** Passes on the records of a peer's [batch] if it continues this copy. Returns how many they were. */
    fun take(batch: RecordBatch): Int {
        if (!batch.continues(next)) return 0
        val nowMs = clock().monotonicMs
        val loaded = batch.latestBase != null
        val records = batch.keyedRecords().filter { it.position.reaches(next) }
        if (loaded) {
            seenSince = clock()
            journal.restart(batch.endPosition, batch, nowMs)
        }
        records.forEach {
            deduplicator.accept(it, nowMs)
            journal.add(it, nowMs)
        }
        val takenEnd = if (loaded) batch.endPosition else records.lastOrNull()?.position?.next
        if (takenEnd?.supersedes(settledEnd) == true) settledEnd = takenEnd
        next = batch.endPosition
        return records.size
    }

    /** Skips the records up to a peer's [watermark] if they are all heartbeats. */
    fun skipHeartbeats(watermark: TopicWatermark) {
        if (next.reaches(watermark.lastChange) && next.precedes(watermark.next)) next = watermark.next
    }

    /** Returns the records to send to peers. */
    fun batches(): List<RecordBatch> = journal.batches(next, clock().monotonicMs)
}
