package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.TopicWatermark
import corneltrack.policy.discovery.readTakeoverAgeMs
import corneltrack.wire.event
import io.netty.channel.EventLoop
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** The shortest time between two looks of a router that leaves the reading to a peer, in ms. */
private const val MINIMUM_CHECK_INTERVAL_MS = 100L

/** The records past which reading the newest ones of all keys costs less than reading each. */
private const val MAXIMUM_CATCH_UP_RECORDS = 200L
private val logger = LogManager.getLogger("corneltrack.router.relay.TopicFollower")

/**
 * Sets the timing of reading.
 *
 * @property waitMs how long the store may wait for a first record, in ms; 0 answers at once.
 * @property delayMs the pause between two reads, in ms, so that a busy topic does not cost a call for each record.
 */
internal data class PollTiming(val waitMs: Long, val delayMs: Long)

/**
 * Names a topic and how to read it.
 *
 * @property name names the topic in logs and among peers.
 */
internal data class FollowedTopic(val name: String, val topic: KeyedTopic, val timing: PollTiming)

/**
 * Follows a keyed topic: first its newest records, then each further one; from the start again where records expired.
 *
 * Every state it passes on has an as-of time: a moment at which the store showed that nothing newer existed, to this
 * router or to a peer that sent its watermark. Only the first router of a region reads at [timing]; the others read where
 * a watermark tells of a change, or where none has come for too long.
 *
 * @param rank how many live routers of the region read before this one.
 * @param onRecord takes a record; a null value means that the key is gone. Returns whether it changed anything.
 */
internal class TopicFollower(
    followed: FollowedTopic,
    private val loop: EventLoop,
    private val clock: Clocks,
    private val rank: () -> Int,
    onRecord: (KeyedRecord) -> Boolean,
) {
    private val topic = followed.topic
    private val timing = followed.timing
    private val deduplicator = RecordDeduplicator(onRecord)
    private val availability = StoreAvailability(followed.name, clock)
    private var catchUpNeeded = false
    private var polling = false
    private var awaitingPeer = false
    private var takeoverCheck: ScheduledFuture<*>? = null
    private var nextOffset = 0L
    private var peerStoreRecoveredMs: Long? = null

    /** Names the topic in logs and among peers. */
    val name: String = followed.name

    /** The latest moment up to which this router knows all records; null before the first. */
    var asOf: ClockReading? = null
        private set

    /** How old this router's knowledge is, in ms; null before the first. */
    val ageMs: Long? get() = asOf?.let { clock().since(it) }

    /** When the store last answered again after it had not, in ms of the steady clock, or null where it always did. */
    val storeRecoveredMs: Long? get() = listOfNotNull(availability.recoveredMs, peerStoreRecoveredMs).maxOrNull()

    /** Starts to read. */
    fun start(): Unit = loadPage(null, FullLoad(clock(), HashSet()))

    /** Returns how far this router knows the topic, or null where it leaves the reading to a peer. */
    fun watermark(): TopicWatermark? {
        val known = asOf?.takeIf { polling || rank() == 0 } ?: return null
        val now = clock()
        val recoveredAgeMs = storeRecoveredMs?.let { now.monotonicMs - it }
        return TopicWatermark(nextOffset, deduplicator.lastChangeEnd, now.since(known), known.wallClockMs, recoveredAgeMs)
    }

    /** Takes in a peer's [watermark]; where it tells of a change, reads on at once or after the call under way. */
    fun onWatermark(watermark: TopicWatermark) {
        val current = asOf ?: return
        val now = clock()
        watermark.storeBackAgeMs
            ?.let { peerStoreRecoveredMs = maxOf(peerStoreRecoveredMs ?: Long.MIN_VALUE, now.monotonicMs - it) }
        val offered = watermark.asOf(now)
        when {
            watermark.changed > nextOffset -> {
                catchUpNeeded = true
                if (awaitingPeer) {
                    awaitingPeer = false
                    takeoverCheck?.cancel(false)
                    if (watermark.end - nextOffset > MAXIMUM_CATCH_UP_RECORDS) start() else read(0)
                }
            }
            now.since(offered) < now.since(current) -> {
                asOf = offered
                polling = false
            }
        }
    }

    private class FullLoad(val startedAt: ClockReading, val seenKeys: MutableSet<String>) {
        var resumeOffset: Long? = null
    }

    private fun loadPage(after: String?, load: FullLoad) {
        topic.newest(after, availability.timeoutMs) { response ->
            when (response) {
                is TopicResponse.Newest -> onPage(response, load)
                else -> onFailure(response) { start() }
            }
        }
    }

    private fun onPage(page: TopicResponse.Newest, load: FullLoad) {
        availability.onResponse()
        if (load.resumeOffset == null) load.resumeOffset = page.end
        page.records.forEach {
            load.seenKeys += it.key
            deduplicator.accept(it)
        }
        val next = page.next
        if (next != null) {
            loadPage(next, load)
            return
        }
        val resumeOffset = load.resumeOffset ?: page.end
        deduplicator.retain(load.seenKeys, resumeOffset)
        nextOffset = resumeOffset
        asOf = load.startedAt
        read(timing.waitMs)
    }

    private fun read(waitMs: Long) {
        val sentAt = clock()
        topic.read(nextOffset, waitMs, availability.timeoutMs) { response ->
            when (response) {
                is TopicResponse.Records -> onRecords(response, sentAt, waitMs)
                TopicResponse.Expired -> {
                    logger.event("topic_expired") { field("topic", name) }
                    availability.onResponse()
                    start()
                }
                else -> onFailure(response) { read(waitMs) }
            }
        }
    }

    private fun onRecords(page: TopicResponse.Records, sentAt: ClockReading, waitMs: Long) {
        availability.onResponse()
        page.records.forEach(deduplicator::accept)
        nextOffset = page.next
        if (nextOffset < page.end) {
            read(waitMs)
            return
        }
        val waitedMs = if (page.records.isEmpty()) minOf(waitMs, clock().monotonicMs - sentAt.monotonicMs) else 0
        asOf = sentAt.plus(waitedMs)
        catchUpNeeded = false
        scheduleNextRead()
    }

    /** Reads on at the timing, or leaves that to the peers that come first. */
    private fun scheduleNextRead() {
        if (rank() == 0) {
            polling = true
            loop.after(timing.delayMs) { read(timing.waitMs) }
        } else {
            awaitingPeer = true
            // Nothing falls to this router before, whichever peers go.
            val dueMs = readTakeoverAgeMs(timing.waitMs + timing.delayMs, rank = 0) - (ageMs ?: Long.MAX_VALUE)
            takeoverCheck = loop.schedule(::checkTakeover, maxOf(MINIMUM_CHECK_INTERVAL_MS, dueMs), TimeUnit.MILLISECONDS)
        }
    }

    private fun checkTakeover() {
        awaitingPeer = false
        val overdue = (ageMs ?: Long.MAX_VALUE) >= readTakeoverAgeMs(timing.waitMs + timing.delayMs, rank())
        if (overdue) polling = true
        if (overdue || catchUpNeeded) read(0) else scheduleNextRead()
    }

    private fun onFailure(response: TopicResponse, retry: () -> Unit) {
        val reason = (response as? TopicResponse.Unavailable)?.reason ?: "unexpected answer"
        loop.after(availability.onFailure(reason, ageMs), retry)
    }
}

private fun EventLoop.after(delayMs: Long, action: () -> Unit) {
    schedule(action, delayMs, TimeUnit.MILLISECONDS)
}
