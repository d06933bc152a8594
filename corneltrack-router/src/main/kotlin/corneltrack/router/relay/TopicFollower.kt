package corneltrack.router.relay

import corneltrack.policy.belief.BeliefClock
import corneltrack.policy.belief.BeliefTime
import corneltrack.wire.event
import io.netty.channel.EventLoop
import org.apache.logging.log4j.LogManager
import java.util.concurrent.TimeUnit

private val logger = LogManager.getLogger("corneltrack.router.relay.TopicFollower")

/**
 * Sets the pace of reading.
 *
 * @property waitMs how long the store may wait for a first record, in ms; 0 answers at once.
 * @property pauseMs the pause between two reads, in ms, so that a busy topic does not cost a call for each record.
 */
internal data class ReadingPace(val waitMs: Long, val pauseMs: Long)

/**
 * Follows a keyed topic: first its newest records, then each further one; from the start again where records expired.
 *
 * Every state it passes on has an as-of time: a moment at which the store showed that nothing newer existed.
 *
 * @param onRecord takes a record; a null value means that the key is gone.
 */
internal class TopicFollower(
    private val name: String,
    private val topic: KeyedTopic,
    private val pace: ReadingPace,
    private val loop: EventLoop,
    private val clock: BeliefClock,
    private val onRecord: (KeyedRecord) -> Unit,
) {
    private val offsets = HashMap<String, Long>()
    private val watch = StoreWatch(name, clock)

    /** The latest moment up to which this router knows all records; null before the first. */
    var asOf: BeliefTime? = null
        private set

    /** Starts to read. */
    fun start(): Unit = load(null, Loading(clock(), HashSet()))

    /** When the store last answered again after it had not, in ms of the steady clock, or null where it always did. */
    val storeBackMs: Long? get() = watch.regainedMs

    private class Loading(val startedAt: BeliefTime, val seen: MutableSet<String>) {
        var resumeAt: Long? = null
    }

    private fun load(after: String?, loading: Loading) {
        topic.newest(after, watch.timeoutMs) { reply ->
            when (reply) {
                is TopicReply.Newest -> onPage(reply, loading)
                else -> onFailure(reply) { start() }
            }
        }
    }

    private fun onPage(page: TopicReply.Newest, loading: Loading) {
        watch.onAnswer()
        if (loading.resumeAt == null) loading.resumeAt = page.end
        page.records.forEach {
            loading.seen += it.key
            accept(it)
        }
        val next = page.next
        if (next != null) {
            load(next, loading)
            return
        }
        val resumeAt = loading.resumeAt ?: page.end
        offsets.filter { (key, offset) -> key !in loading.seen && offset < resumeAt }.keys.toList()
            .forEach { accept(KeyedRecord(it, null, resumeAt)) }
        asOf = loading.startedAt
        read(resumeAt)
    }

    private fun read(from: Long) {
        val sentAt = clock()
        topic.read(from, pace.waitMs, watch.timeoutMs) { reply ->
            when (reply) {
                is TopicReply.Records -> onRecords(reply, sentAt)
                TopicReply.Expired -> {
                    logger.event("topic_expired") { field("topic", name) }
                    watch.onAnswer()
                    start()
                }
                else -> onFailure(reply) { read(from) }
            }
        }
    }

    private fun onRecords(page: TopicReply.Records, sentAt: BeliefTime) {
        watch.onAnswer()
        page.records.forEach(::accept)
        if (page.next >= page.end) {
            val waited = if (page.records.isEmpty()) minOf(pace.waitMs, clock().steadyMs - sentAt.steadyMs) else 0
            asOf = sentAt.plus(waited)
            after(pace.pauseMs) { read(page.next) }
        } else {
            read(page.next)
        }
    }

    private fun accept(record: KeyedRecord) {
        val known = offsets[record.key]
        if (known != null && record.offset <= known) return
        if (record.value == null) offsets.remove(record.key) else offsets[record.key] = record.offset
        onRecord(record)
    }

    private fun onFailure(reply: TopicReply, retry: () -> Unit) {
        val reason = (reply as? TopicReply.Unavailable)?.reason ?: "unexpected answer"
        after(watch.onFailure(reason, asOf?.let { clock().since(it) }), retry)
    }

    private fun after(delayMs: Long, action: () -> Unit) {
        loop.schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }
}
