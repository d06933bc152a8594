package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.Confirmation
import corneltrack.policy.discovery.ConfirmationSource
import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.discovery.TopicPosition
import corneltrack.policy.discovery.TopicWatermark
import corneltrack.policy.discovery.takeoverAgeMs
import corneltrack.wire.event
import io.netty.channel.EventLoop
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** The minimum interval at which a router that relies on a polling peer checks whether to take over, in ms. */
private const val MINIMUM_CHECK_INTERVAL_MS = 100L

/** With more missed records, loading the newest record of each key costs less than reading all missed ones. */
private const val MAXIMUM_CATCH_UP_RECORDS = 200L

/**
 * The time that a router waits for the records of an announced change before it reads them from the store, in ms.
 * Longer than the interval of the watermarks, which carry them again.
 */
private const val CATCH_UP_WAIT_MS = 400L

/** By how much longer each further router of the region waits, in ms, so that one reads and sends what it has read. */
private const val CATCH_UP_STAGGER_MS = 100L
private const val MAXIMUM_CATCH_UP_STAGGER = 5

/** How long a router sends its peers the records of a change that it read although it does not poll, in ms. */
private const val CATCH_UP_SHARED_MS = 1_000L

/** By how much longer each further router of the region waits, in ms, before it loads a new era of the store. */
private const val NEW_ERA_STAGGER_MS = 50L
private const val MAXIMUM_NEW_ERA_STAGGER = 10
private val logger = LogManager.getLogger("corneltrack.router.relay.TopicFollower")

/**
 * Configures how a topic is polled.
 *
 * @property waitMs how long the store may hold a read open until there is a record, in ms (long poll); 0 for an
 *   immediate response.
 * @property delayMs the time from a response to the next read, in ms, which batches the records of a busy topic instead
 *   of a call for each.
 */
internal data class PollTiming(val waitMs: Long, val delayMs: Long)

/**
 * A topic to follow.
 *
 * @property name identifies the topic in logs and in the watermarks that routers exchange.
 * @property reconciles returns whether the handler of the record of a key tells older content from newer by itself; see
 *   [TopicCopy].
 * @property onLoaded called when all records have been loaded first, and first since the store came back from an older
 *   copy.
 */
internal data class FollowedTopic(
    val name: String,
    val topic: KeyedTopic,
    val timing: PollTiming,
    val reconciles: (key: String) -> Boolean = { false },
    val onLoaded: () -> Unit = {},
)

/** A topic and what follows it. */
internal data class FollowedKeyedTopic(val topic: KeyedTopic, val follower: TopicFollower)

/**
 * Follows a keyed topic: loads the newest record of each key, then reads the records that follow. Loads everything
 * again if the store has deleted the records to read next.
 *
 * To limit the calls to the store, only the first live router of a region (rank 0) polls at [PollTiming] and sends its
 * watermark to its peers. The others read when a watermark announces a change, or take over the polling when watermarks
 * are overdue. With [RecordSharing] the polling router also sends the changed records, and the others read only what
 * they miss after a while.
 *
 * @param rank returns how many live routers of the region come before this one in the order of polling.
 * @param onRecord handles a record, whose value is null if its key was removed. Returns whether it changed any state; a
 *   heartbeat does not.
 */
internal class TopicFollower(
    followed: FollowedTopic,
    private val loop: EventLoop,
    private val clock: Clocks,
    private val rank: () -> Int,
    private val sharing: RecordSharing = RecordSharing(),
    onRecord: (KeyedRecord) -> Boolean,
) {
    private val timing = followed.timing
    private val onLoaded = followed.onLoaded
    private val copy = TopicCopy(clock, followed.reconciles, onRecord)
    private val reader: TopicReader = TopicReader(followed, loop, clock, copy, sharing.onStoreCall, ::onOutcome)

    private val missed = MissedChanges()

    /** Until when this router sends watermarks although it does not poll, in ms of the monotonic clock. */
    private var sharedUntilMs = Long.MIN_VALUE

    /** Whether this router polls the store; it then sends watermarks even if its rank is not 0. */
    private var polling = false

    /** Whether no read is in progress or scheduled, only a check whether to take over. */
    private var awaitingPeer = false

    /** The next read, or the check whether to take over. */
    private var scheduled: ScheduledFuture<*>? = null

    /** The last era that this router has asked the store about because others had heard of it. */
    private var heardEra = StoreEra.UNSTATED

    /** The position up to which this router has read the topic. */
    val end: TopicPosition get() = copy.next

    /** The last record of each key. */
    val records: KnownRecords get() = copy.records

    /** The time since the store is known to have served this router or a peer, in ms. */
    val unservedMs: Long get() = reader.availability.unservedMs

    /** Identifies the topic in logs and in watermarks. */
    val name: String = followed.name

    /** The latest time as of which the copy is known to be complete; null before the first complete read. */
    val confirmation: Confirmation? get() = copy.confirmation

    /** The time of [confirmation]. */
    val asOf: ClockReading? get() = copy.asOf

    /** Since when every record has been handled, also those replaced or removed since; see [TopicCopy.seenSince]. */
    val seenSince: ClockReading? get() = copy.seenSince

    /** The time since [asOf], in ms; null before the first complete read. */
    val ageMs: Long? get() = asOf?.let { clock().since(it) }

    /** When the store last recovered from an outage, in ms of the monotonic clock; null if no outage was seen. */
    val storeRecoveredMs: Long? get() = reader.availability.recoveredMs

    /** Whether this router sends records with its watermarks and takes them from peers. */
    val sharesRecords: Boolean get() = sharing.enabled()

    /** The age of the copy at which this router polls although a peer is expected to. */
    private val isOverdue: Boolean
        get() = (ageMs ?: Long.MAX_VALUE) >= takeoverAgeMs(timing.waitMs + timing.delayMs, rank())

    /** Loads the newest record of each key and follows the topic from there. */
    fun start(): Unit = reader.load(StoreCallCause.START)

    /** How far this router has read the topic; null if it relies on a polling peer. */
    val watermark: TopicWatermark?
        get() {
            val now = clock()
            val known = asOf?.takeIf { polling || rank() == 0 || now.monotonicMs < sharedUntilMs } ?: return null
            val recoveredAgeMs = storeRecoveredMs?.let { now.monotonicMs - it }
            return TopicWatermark(
                copy.next.offset,
                (if (sharesRecords) copy.sharedChangeEnd else copy.lastChangeEnd).offset,
                now.since(known),
                known.wallClockMs,
                recoveredAgeMs,
                copy.next.era,
            )
        }

    /** The records to send to peers with the watermark. */
    val batches: List<RecordBatch> get() = if (sharesRecords) copy.batches() else emptyList()

    /**
     * Updates the age of the cached state from a peer's [watermark], or reads the records of a change that it
     * announces: at once, or after the read in progress.
     *
     * @param records what the peer sent with it, or null if the peer or this router does not share records. A router
     *   that misses a change then waits for it a while before it reads.
     * @param peer the name of the peer.
     */
    fun onWatermark(watermark: TopicWatermark, records: SharedRecords? = null, peer: String? = null) {
        val current = asOf ?: return
        // A position of another era says nothing about this copy; onEra has the store asked about a newer one.
        if (watermark.era != copy.next.era) return
        val now = clock()
        val peerAsOf = watermark.asOf(now)
        reader.availability.onPeer(peerAsOf, watermark.storeRecoveredAgeMs?.let { now.monotonicMs - it })
        if (records != null && !reader.loading) take(watermark, records)
        when {
            copy.next.precedes(watermark.lastChange) -> onMissedChange(watermark, records != null)
            // The peer has read the topic more recently, so it is the one that polls.
            now.since(peerAsOf) < now.since(current) -> {
                copy.confirm(Confirmation(peerAsOf, ConfirmationSource.PEER, copy.next, peer))
                polling = false
            }
        }
    }

    /**
     * Asks the store about [era], which another topic of it or a peer is known to have reached, unless this topic has.
     * What the store says then counts, and no earlier read of it.
     */
    fun onEra(era: StoreEra) {
        val news = era.isAfter(copy.next.era) && era != heardEra
        if (!news || asOf == null || reader.loading) return
        heardEra = era
        scheduled?.cancel(false)
        awaitingPeer = false
        reader.supersede()
        val stagger = NEW_ERA_STAGGER_MS * minOf(rank(), MAXIMUM_NEW_ERA_STAGGER)
        scheduled = loop.after(stagger) { reader.load(StoreCallCause.NEW_ERA) }
    }

    private fun take(watermark: TopicWatermark, records: SharedRecords) {
        val batch = records.batch?.takeIf { records.topic == name && watermark.next.reaches(it.endPosition) }
        val taken = batch?.let(copy::take) ?: 0
        if (taken > 0) sharing.onRecordsTaken(name, taken)
        copy.skipHeartbeats(watermark)
        missed.onProgress(copy.next)
    }

    private fun onMissedChange(watermark: TopicWatermark, shared: Boolean) {
        missed.add(watermark)
        if (!awaitingPeer || (shared && missed.dueMs != null)) return
        awaitingPeer = false
        scheduled?.cancel(false)
        if (shared) {
            val stagger = CATCH_UP_STAGGER_MS * (rank() - 1).coerceIn(0, MAXIMUM_CATCH_UP_STAGGER)
            missed.dueMs = clock().monotonicMs + CATCH_UP_WAIT_MS + stagger
            scheduleNextRead()
        } else {
            catchUp()
        }
    }

    private fun catchUp() {
        if (missed.recordsAfter(copy.next) > MAXIMUM_CATCH_UP_RECORDS) {
            reader.load(StoreCallCause.RELOAD)
        } else {
            reader.read(0, StoreCallCause.ANNOUNCED)
        }
    }

    private fun onOutcome(outcome: ReadOutcome): Unit = when (outcome) {
        is ReadOutcome.Loaded -> {
            if (outcome.load.beginsEra) {
                missed.clear()
                logNewEra(name, copy, outcome.load)
            }
            // What this process wrote before its first load may have been lost as well.
            if (outcome.load.beginsEra || outcome.load.isFirst) onLoaded()
            // A single page shows the state at its end, so that the next regular read is soon enough.
            val upToDate = sharesRecords && outcome.load.pages == 1
            if (upToDate) onUpToDate() else reader.read(0, StoreCallCause.FOLLOW_UP)
        }
        is ReadOutcome.ReachedEnd -> {
            copy.confirm(Confirmation(outcome.asOf, ConfirmationSource.READ, copy.next))
            onUpToDate()
        }
        ReadOutcome.RetryDue -> {
            val upToDate = sharesRecords && rank() != 0 && missed.isEmpty && !isOverdue
            // Not a long poll, whose time a dead connection would take in addition to the timeout.
            if (upToDate) scheduleNextRead() else reader.read(0, StoreCallCause.RETRY)
        }
    }

    private fun onUpToDate() {
        if (!missed.isEmpty && sharesRecords) sharedUntilMs = clock().monotonicMs + CATCH_UP_SHARED_MS
        missed.clear()
        scheduleNextRead()
    }

    /** Schedules the next poll, or only a takeover check if a peer comes first. */
    private fun scheduleNextRead() {
        if (rank() == 0) {
            polling = true
            scheduled = loop.after(timing.delayMs) { reader.read(timing.waitMs, StoreCallCause.POLL) }
        } else {
            awaitingPeer = true
            // Even with rank 0 this router would not take over earlier, so the check need not run before.
            val takeoverMs = takeoverAgeMs(timing.waitMs + timing.delayMs, rank = 0) - (ageMs ?: Long.MAX_VALUE)
            val dueMs = minOf(takeoverMs, missed.dueMs?.let { it - clock().monotonicMs } ?: Long.MAX_VALUE)
            scheduled = loop.after(maxOf(MINIMUM_CHECK_INTERVAL_MS, dueMs), ::checkTakeover)
        }
    }

    private fun checkTakeover() {
        awaitingPeer = false
        val nowMs = clock().monotonicMs
        when {
            isOverdue -> {
                polling = true
                reader.read(0, StoreCallCause.TAKEOVER)
            }
            missed.isDue(nowMs) -> catchUp()
            else -> scheduleNextRead()
        }
    }
}

private fun EventLoop.after(delayMs: Long, action: () -> Unit): ScheduledFuture<*> =
    schedule(action, delayMs, TimeUnit.MILLISECONDS)

private fun logNewEra(topic: String, copy: TopicCopy, load: TopicLoad) = logger.event("store_era_loaded") {
    field("topic", topic)
    field("era", copy.next.era)
    field("previous", load.from.era)
    field("records", load.keys.size)
    field("held_back", load.heldBack.size)
    field("kept", copy.records.olderThan(copy.next.era).size)
}
