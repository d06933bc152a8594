package corneltrack.router.relay

import io.netty.channel.EventLoop
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** Keeps a topic in memory, in the place of the platform's store. */
internal class FakeTopic(private val loop: EventLoop) {
    private val records = CopyOnWriteArrayList<KeyedRecord>()

    /** Whether calls stay without an answer. */
    @Volatile
    var unavailable: Boolean = false

    /** The first offset that is still kept. */
    @Volatile
    var oldestOffset: Long = 0

    val topic: KeyedTopic = KeyedTopic(
        newest = { after, _, onResponse -> newest(after, onResponse) },
        read = { from, waitMs, _, onResponse -> read(from, waitMs, onResponse) },
        write = ::write,
    )

    fun put(key: String, value: String?) {
        records += KeyedRecord(key, value?.toByteArray(), records.size.toLong())
    }

    private fun newest(after: String?, onResponse: (TopicResponse) -> Unit) = respond(0, onResponse) {
        check(after == null) { "everything fits on one page" }
        val latest = records.groupBy { it.key }.values.map { it.last() }.filter { it.value != null }
        TopicResponse.Newest(latest, null, records.size.toLong())
    }

    private fun read(from: Long, waitMs: Long, onResponse: (TopicResponse) -> Unit) = respond(minOf(waitMs, 20), onResponse) {
        if (from < oldestOffset) {
            TopicResponse.Expired
        } else {
            val end = records.size.toLong()
            TopicResponse.Records(records.drop(from.toInt()), end, end)
        }
    }

    private fun write(key: String, value: ByteArray?, onDone: (Boolean) -> Unit) {
        records += KeyedRecord(key, value, records.size.toLong())
        loop.execute { onDone(true) }
    }

    private fun respond(delayMs: Long, onResponse: (TopicResponse) -> Unit, response: () -> TopicResponse) {
        val failure = TopicResponse.Unavailable("silent")
        loop.schedule({ onResponse(if (unavailable) failure else response()) }, delayMs, TimeUnit.MILLISECONDS)
    }
}
