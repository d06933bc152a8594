package corneltrack.router.relay

import corneltrack.policy.discovery.TopicPosition
import io.netty.channel.EventLoop
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** Cuts long polls short, in ms, so that tests run fast. */
private const val MAXIMUM_WAIT_MS = 20L

/** Fakes a topic of the platform's store in memory. */
internal class FakeTopic(private val loop: EventLoop) {
    private val records = CopyOnWriteArrayList<KeyedRecord>()

    private val end: TopicPosition get() = at(records.size.toLong())

    /** Whether each call fails as if the store did not respond. */
    @Volatile
    var unavailable: Boolean = false

    /** The offset of the oldest record that the store has not deleted; reads before it get [TopicResponse.Expired]. */
    @Volatile
    var oldestOffset: Long = 0

    /** Whether a follower has asked for the records after the newest one, and so has handled all. */
    val consumed: Boolean get() = lastReadFrom >= records.size

    @Volatile
    private var lastReadFrom = 0L

    val topic: KeyedTopic = KeyedTopic(
        newest = { after, _, onResponse -> newest(after, onResponse) },
        read = { from, waitMs, _, onResponse -> read(from, waitMs, onResponse) },
        write = ::write,
        writeAt = ::writeAt,
    )

    /** Returns the newest value of [key], or null if there is none. */
    fun newest(key: String): String? = records.lastOrNull { it.key == key }?.value?.let { String(it) }

    fun put(key: String, value: String?) {
        records += KeyedRecord(key, value?.toByteArray(), end)
    }

    private fun newest(after: String?, onResponse: (TopicResponse) -> Unit) = respond(0, onResponse) {
        check(after == null) { "all records fit on the first page" }
        val newest = records.groupBy { it.key }.values.map { it.last() }.filter { it.value != null }
        TopicResponse.Newest(newest, null, end)
    }

    private fun read(from: TopicPosition, waitMs: Long, onResponse: (TopicResponse) -> Unit) {
        lastReadFrom = from.offset
        respond(minOf(waitMs, MAXIMUM_WAIT_MS), onResponse) {
            if (from.offset < oldestOffset) {
                TopicResponse.Expired
            } else {
                val end = this.end
                TopicResponse.Records(records.drop(from.offset.toInt()), end, end)
            }
        }
    }

    private fun write(key: String, value: ByteArray?, onDone: (Boolean) -> Unit) {
        records += KeyedRecord(key, value, end)
        loop.execute { onDone(true) }
    }

    private fun writeAt(key: String, value: ByteArray, end: TopicPosition, onDone: (ConditionalWrite) -> Unit) {
        val result = when {
            unavailable -> ConditionalWrite.Unknown("unavailable")
            end != this.end -> ConditionalWrite.Conflict(this.end)
            else -> ConditionalWrite.Written(end).also { records += KeyedRecord(key, value, end) }
        }
        loop.execute { onDone(result) }
    }

    private fun respond(delayMs: Long, onResponse: (TopicResponse) -> Unit, response: () -> TopicResponse) {
        val failure = TopicResponse.Unavailable("unavailable")
        loop.schedule({ onResponse(if (unavailable) failure else response()) }, delayMs, TimeUnit.MILLISECONDS)
    }
}
