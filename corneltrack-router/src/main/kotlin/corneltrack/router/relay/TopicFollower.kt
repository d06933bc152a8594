package corneltrack.router.relay

import corneltrack.policy.belief.BeliefClock
import corneltrack.policy.belief.BeliefTime
import corneltrack.policy.belief.TopicWatermark
import corneltrack.policy.belief.readingPatienceMs
import corneltrack.wire.event
import io.netty.channel.EventLoop
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** The shortest time between two looks of a router that leaves the reading to a peer, in ms. */
private const val CHECK_MS = 100L

/** The records past which reading the newest ones of all keys costs less than reading each. */
private const val LONGEST_CATCH_UP = 200L
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
    private val clock: BeliefClock,
    private val rank: () -> Int,
    onRecord: (KeyedRecord) -> Boolean,
) {
    private val topic = followed.topic
    private val timing = followed.timing
    private val records = RecordDeduplicator(onRecord)
    private val availability = StoreAvailability(followed.name, clock)
    private var behind = false
    private var reads = false
    private var idle = false
    private var check: ScheduledFuture<*>? = null
    private var end = 0L
    private var peerStoreRecoveredMs: Long? = null

    /** Names the topic in logs and among peers. */
    val name: String = followed.name

    /** The latest moment up to which this router knows all records; null before the first. */
    var asOf: BeliefTime? = null
        private set

    /** How old this router's knowledge is, in ms; null before the first. */
    val ageMs: Long? get() = asOf?.let { clock().since(it) }

    /** When the store last answered again after it had not, in ms of the steady clock, or null where it always did. */
    val storeRecoveredMs: Long? get() = listOfNotNull(availability.recoveredMs, peerStoreRecoveredMs).maxOrNull()

    /** Starts to read. */
    fun start(): Unit = load(null, Loading(clock(), HashSet()))

    /** Returns how far this router knows the topic, or null where it leaves the reading to a peer. */
    fun watermark(): TopicWatermark? {
        val since = asOf?.takeIf { reads || rank() == 0 } ?: return null
        val now = clock()
        val recoveredAgeMs = storeRecoveredMs?.let { now.steadyMs - it }
        return TopicWatermark(end, records.changed, now.since(since), since.dayMs, recoveredAgeMs)
    }

    /** Takes in a peer's [watermark]; where it tells of a change, reads on at once or after the call under way. */
    fun onWatermark(watermark: TopicWatermark) {
        val current = asOf ?: return
        val now = clock()
        watermark.storeBackAgeMs?.let { peerStoreRecoveredMs = maxOf(peerStoreRecoveredMs ?: Long.MIN_VALUE, now.steadyMs - it) }
        val offered = watermark.asOf(now)
        when {
            watermark.changed > end -> {
                behind = true
                if (idle) {
                    idle = false
                    check?.cancel(false)
                    if (watermark.end - end > LONGEST_CATCH_UP) start() else read(0)
                }
            }
            now.since(offered) < now.since(current) -> {
                asOf = offered
                reads = false
            }
        }
    }

    private class Loading(val startedAt: BeliefTime, val seen: MutableSet<String>) {
        var resumeAt: Long? = null
    }

    private fun load(after: String?, loading: Loading) {
        topic.newest(after, availability.timeoutMs) { reply ->
            when (reply) {
                is TopicResponse.Newest -> onPage(reply, loading)
                else -> onFailure(reply) { start() }
            }
        }
    }

    private fun onPage(page: TopicResponse.Newest, loading: Loading) {
        availability.onResponse()
        if (loading.resumeAt == null) loading.resumeAt = page.end
        page.records.forEach {
            loading.seen += it.key
            records.accept(it)
        }
        val next = page.next
        if (next != null) {
            load(next, loading)
            return
        }
        val resumeAt = loading.resumeAt ?: page.end
        records.retain(loading.seen, resumeAt)
        end = resumeAt
        asOf = loading.startedAt
        read(timing.waitMs)
    }

    private fun read(waitMs: Long) {
        val sentAt = clock()
        topic.read(end, waitMs, availability.timeoutMs) { reply ->
            when (reply) {
                is TopicResponse.Records -> onRecords(reply, sentAt, waitMs)
                TopicResponse.Expired -> {
                    logger.event("topic_expired") { field("topic", name) }
                    availability.onResponse()
                    start()
                }
                else -> onFailure(reply) { read(waitMs) }
            }
        }
    }

    private fun onRecords(page: TopicResponse.Records, sentAt: BeliefTime, waitMs: Long) {
        availability.onResponse()
        page.records.forEach(records::accept)
        end = page.next
        if (end < page.end) {
            read(waitMs)
            return
        }
        val waited = if (page.records.isEmpty()) minOf(waitMs, clock().steadyMs - sentAt.steadyMs) else 0
        asOf = sentAt.plus(waited)
        behind = false
        readOnLater()
    }

    /** Reads on at the timing, or leaves that to the peers that come first. */
    private fun readOnLater() {
        if (rank() == 0) {
            reads = true
            loop.after(timing.delayMs) { read(timing.waitMs) }
        } else {
            idle = true
            // Nothing falls to this router before, whichever peers go.
            val dueMs = readingPatienceMs(timing.waitMs + timing.delayMs, rank = 0) - (ageMs ?: Long.MAX_VALUE)
            check = loop.schedule(::checkPatience, maxOf(CHECK_MS, dueMs), TimeUnit.MILLISECONDS)
        }
    }

    private fun checkPatience() {
        idle = false
        val lapsed = (ageMs ?: Long.MAX_VALUE) >= readingPatienceMs(timing.waitMs + timing.delayMs, rank())
        if (lapsed) reads = true
        if (lapsed || behind) read(0) else readOnLater()
    }

    private fun onFailure(reply: TopicResponse, retry: () -> Unit) {
        val reason = (reply as? TopicResponse.Unavailable)?.reason ?: "unexpected answer"
        loop.after(availability.onFailure(reason, ageMs), retry)
    }
}

private fun EventLoop.after(delayMs: Long, action: () -> Unit) {
    schedule(action, delayMs, TimeUnit.MILLISECONDS)
}
