package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.TopicPosition
import corneltrack.wire.event
import io.netty.channel.EventLoop
import org.apache.logging.log4j.LogManager
import java.util.concurrent.TimeUnit

// Keeps the name of the class that wrote these lines before, which appears as logger=.
private val logger = LogManager.getLogger("corneltrack.router.relay.TopicFollower")

/** What came of reading a topic. */
internal sealed interface ReadOutcome {
    /** All records have been loaded. */
    class Loaded(val load: TopicLoad) : ReadOutcome

    /** The records up to the end of the topic have been read; none was newer at [asOf]. */
    class ReachedEnd(val asOf: ClockReading) : ReadOutcome

    /** A read failed, and the delay before it may be repeated is over. */
    data object RetryDue : ReadOutcome
}

/**
 * Reads a topic of the store into [copy] and repeats failed calls after a while.
 *
 * @property availability whether the store responds.
 * @param onOutcome called once for each [load] or [read].
 */
internal class TopicReader(
    private val followed: FollowedTopic,
    private val loop: EventLoop,
    private val clock: Clocks,
    private val copy: TopicCopy,
    private val onStoreCall: (String, StoreCallCause) -> Unit,
    private val onOutcome: (ReadOutcome) -> Unit,
) {
    private val topic = followed.topic

    /** The number of the latest call: the response to an earlier one, or its repetition, changes nothing. */
    private var latestCall = 0L
    val availability = StoreAvailability(followed.name, clock)

    /** Whether a load is in progress, during which the copy must not change otherwise. */
    var loading = false
        private set

    /** Loads the newest record of each key. */
    fun load(cause: StoreCallCause) {
        loading = true
        loadPage(null, copy.beginLoad(), cause)
    }

    /** Has the response to the call in progress, or its repetition, change nothing. */
    fun supersede() {
        latestCall++
    }

    private fun <T> unlessSuperseded(action: (T) -> Unit): (T) -> Unit {
        val call = ++latestCall
        return { if (call == latestCall) action(it) }
    }

    private fun loadPage(after: String?, load: TopicLoad, cause: StoreCallCause) {
        onStoreCall(followed.name, cause)
        val onResponse = unlessSuperseded<TopicResponse> { response ->
            when {
                response !is TopicResponse.Newest -> reload(response, load)
                // Within an era the end of a topic never goes back, so that the page belongs to another call.
                !copy.next.admits(
                    response.end
                ) -> reload(TopicResponse.Unavailable("a page that ends at ${response.end}"), load)
                load.resume?.let { response.end.era != it.era } == true -> restart(load, StoreCallCause.RELOAD)
                else -> onPage(response, load, cause)
            }
        }
        topic.newest(after, availability.timeoutMs, onResponse)
    }

    private fun reload(response: TopicResponse, load: TopicLoad) =
        onFailure(response) { restart(load, StoreCallCause.RETRY) }

    private fun restart(load: TopicLoad, cause: StoreCallCause) {
        load.restart(clock())
        loadPage(null, load, cause)
    }

    private fun onPage(page: TopicResponse.Newest, load: TopicLoad, cause: StoreCallCause) {
        availability.onResponse()
        copy.load(page, load)
        val next = page.next
        if (next != null) {
            loadPage(next, load, cause)
            return
        }
        copy.finish(load)
        loading = false
        availability.onLoaded()
        onOutcome(ReadOutcome.Loaded(load))
    }

    /**
     * Reads the records from the copy's next position to the end of the topic.
     *
     * A long poll only brings records early. What the copy has is confirmed by a read without a wait that follows it.
     */
    fun read(waitMs: Long, cause: StoreCallCause) {
        val sentAt = clock()
        onStoreCall(followed.name, cause)
        val onResponse = unlessSuperseded<TopicResponse> { response ->
            when (response) {
                is TopicResponse.Records -> onRecords(response, sentAt, waitMs)
                TopicResponse.Expired -> {
                    logger.event("topic_expired") { field("topic", followed.name) }
                    availability.onResponse()
                    load(StoreCallCause.RELOAD)
                }
                is TopicResponse.NewEra -> load(StoreCallCause.NEW_ERA)
                else -> onFailure(response) { onOutcome(ReadOutcome.RetryDue) }
            }
        }
        topic.read(copy.next, waitMs, availability.timeoutMs, onResponse)
    }

    private fun onRecords(page: TopicResponse.Records, sentAt: ClockReading, waitMs: Long) {
        availability.onResponse()
        copy.read(page)
        when {
            copy.next.precedes(page.end) -> read(0, StoreCallCause.FOLLOW_UP)
            // A store may answer a long poll without the records written meanwhile.
            waitMs > 0 -> read(0, StoreCallCause.CONFIRM)
            else -> onOutcome(ReadOutcome.ReachedEnd(sentAt))
        }
    }

    private fun onFailure(response: TopicResponse, retry: () -> Unit) {
        val reason = (response as? TopicResponse.Unavailable)?.reason ?: "unexpected response"
        val delayMs = availability.onFailure(reason, copy.asOf?.let { clock().since(it) })
        val unlessSuperseded = unlessSuperseded<Unit> { retry() }
        loop.schedule({ unlessSuperseded(Unit) }, delayMs, TimeUnit.MILLISECONDS)
    }
}

/** Whether a page that ends at [end] may be of a load that started after all before this position had been read. */
private fun TopicPosition.admits(end: TopicPosition) = end.era.isAfter(era) || end.reaches(this)
