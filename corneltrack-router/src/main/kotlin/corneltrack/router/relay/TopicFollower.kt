package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Clocks
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
 */
internal data class FollowedTopic(val name: String, val topic: KeyedTopic, val timing: PollTiming)

/** A topic and what follows it. */
internal data class FollowedKeyedTopic(val topic: KeyedTopic, val follower: TopicFollower)

/**
 * Follows a keyed topic: loads the newest record of each key, then reads the records that follow. Loads everything
 * again if the store has deleted the records to read next.
 *
 * To limit the calls to the store, only the first live router of a region (rank 0) polls at [PollTiming] and sends its
 * watermark to its peers. The others read when a watermark announces a change, or take over the polling when watermarks
 * are overdue.
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
    onRecord: (KeyedRecord) -> Boolean,
) {
    private val topic = followed.topic
    private val timing = followed.timing
    private val deduplicator = RecordDeduplicator(onRecord)
    private val availability = StoreAvailability(followed.name, clock)

    /** Whether a watermark announced a change that this router has not read yet. */
    private var catchUpNeeded = false

    /** Whether this router polls the store; it then sends watermarks even if its rank is not 0. */
    private var polling = false

    /** Whether no read is in progress or scheduled, only a check whether to take over. */
    private var awaitingPeer = false
    private var takeoverCheck: ScheduledFuture<*>? = null

    /** The offset from which to read on. */
    private var nextOffset = 0L

    /** The offset up to which this router has read the topic. */
    val endOffset: Long get() = nextOffset

    /** The time since the store is known to have served this router or a peer, in ms. */
    val unservedMs: Long get() = availability.unservedMs

    /** Identifies the topic in logs and in watermarks. */
    val name: String = followed.name

    /**
     * The latest time at which the store is known to have had no record newer than those read here; null before the
     * first complete read. Established by a read of this router or by a peer's watermark.
     */
    var asOf: ClockReading? = null
        private set

    /** The time since [asOf], in ms; null before the first complete read. */
    val ageMs: Long? get() = asOf?.let { clock().since(it) }

    /** When the store last recovered from an outage, in ms of the monotonic clock; null if no outage was seen. */
    val storeRecoveredMs: Long? get() = availability.recoveredMs

    /** Loads the newest record of each key and follows the topic from there. */
    fun start(): Unit = loadPage(null, FullLoad(clock(), HashSet()))

    /** Returns how far this router has read the topic, or null if it relies on a polling peer. */
    fun watermark(): TopicWatermark? {
        val known = asOf?.takeIf { polling || rank() == 0 } ?: return null
        val now = clock()
        val recoveredAgeMs = storeRecoveredMs?.let { now.monotonicMs - it }
        return TopicWatermark(
            nextOffset,
            deduplicator.lastChangeEnd,
            now.since(known),
            known.wallClockMs,
            recoveredAgeMs,
        )
    }

    /**
     * Updates the age of the cached state from a peer's [watermark], or reads the records of a change that it
     * announces: at once, or after the read in progress.
     */
    fun onWatermark(watermark: TopicWatermark) {
        val current = asOf ?: return
        val now = clock()
        val peerAsOf = watermark.asOf(now)
        availability.onPeer(peerAsOf, watermark.storeRecoveredAgeMs?.let { now.monotonicMs - it })
        when {
            watermark.lastChangeEnd > nextOffset -> {
                catchUpNeeded = true
                if (awaitingPeer) {
                    awaitingPeer = false
                    takeoverCheck?.cancel(false)
                    if (watermark.nextOffset - nextOffset > MAXIMUM_CATCH_UP_RECORDS) start() else read(0)
                }
            }
            // The peer has read the topic more recently, so it is the one that polls.
            now.since(peerAsOf) < now.since(current) -> {
                asOf = peerAsOf
                polling = false
            }
        }
    }

    /**
     * A load of the newest record of each key, in pages.
     *
     * @property seenKeys the keys loaded so far; known keys that are missing at the end have been removed.
     */
    private class FullLoad(val startedAt: ClockReading, val seenKeys: MutableSet<String>) {
        /** The end of the topic at the first page: later records may have been left out and are read afterwards. */
        var resumeOffset: Long? = null
    }

    private fun loadPage(after: String?, load: FullLoad) {
        topic.newest(after, availability.timeoutMs) { response ->
            when {
                response !is TopicResponse.Newest -> onFailure(response) { start() }
                response.end >= nextOffset -> onPage(response, load)
                // The end of a topic never goes back, so that the page belongs to another call.
                else -> onFailure(TopicResponse.Unavailable("a page that ends at ${response.end}")) { start() }
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
        availability.onLoaded()
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
        // An empty response to a long poll shows that there was no record until the end of the wait.
        val waitedMs = if (page.records.isEmpty()) minOf(waitMs, clock().monotonicMs - sentAt.monotonicMs) else 0
        asOf = sentAt.plus(waitedMs)
        catchUpNeeded = false
        scheduleNextRead()
    }

    /** Schedules the next poll, or only a takeover check if a peer comes first. */
    private fun scheduleNextRead() {
        if (rank() == 0) {
            polling = true
            loop.after(timing.delayMs) { read(timing.waitMs) }
        } else {
            awaitingPeer = true
            // Even with rank 0 this router would not take over earlier, so the check need not run before.
            val dueMs = takeoverAgeMs(timing.waitMs + timing.delayMs, rank = 0) - (ageMs ?: Long.MAX_VALUE)
            takeoverCheck =
                loop.schedule(::checkTakeover, maxOf(MINIMUM_CHECK_INTERVAL_MS, dueMs), TimeUnit.MILLISECONDS)
        }
    }

    private fun checkTakeover() {
        awaitingPeer = false
        val overdue = (ageMs ?: Long.MAX_VALUE) >= takeoverAgeMs(timing.waitMs + timing.delayMs, rank())
        if (overdue) polling = true
        if (overdue || catchUpNeeded) read(0) else scheduleNextRead()
    }

    private fun onFailure(response: TopicResponse, retry: () -> Unit) {
        val reason = (response as? TopicResponse.Unavailable)?.reason ?: "unexpected response"
        loop.after(availability.onFailure(reason, ageMs), retry)
    }
}

private fun EventLoop.after(delayMs: Long, action: () -> Unit) {
    schedule(action, delayMs, TimeUnit.MILLISECONDS)
}
