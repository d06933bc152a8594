package corneltrack.router.relay

import io.netty.channel.EventLoop
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** Keeps a topic in memory, in the place of the platform's store. */
internal class MemoryTopic(private val loop: EventLoop) {
    private val records = CopyOnWriteArrayList<KeyedRecord>()

    /** Whether calls stay without an answer. */
    @Volatile
    var silent: Boolean = false

    /** The first offset that is still kept. */
    @Volatile
    var oldest: Long = 0

    val topic: KeyedTopic = KeyedTopic(
        newest = { after, _, onReply -> newest(after, onReply) },
        read = { from, waitMs, _, onReply -> read(from, waitMs, onReply) },
        write = ::write,
    )

    fun put(key: String, value: String?) {
        records += KeyedRecord(key, value?.toByteArray(), records.size.toLong())
    }

    private fun newest(after: String?, onReply: (TopicReply) -> Unit) = answer(0, onReply) {
        check(after == null) { "everything fits on one page" }
        val kept = records.groupBy { it.key }.values.map { it.last() }.filter { it.value != null }
        TopicReply.Newest(kept, null, records.size.toLong())
    }

    private fun read(from: Long, waitMs: Long, onReply: (TopicReply) -> Unit) = answer(minOf(waitMs, 20), onReply) {
        if (from < oldest) {
            TopicReply.Expired
        } else {
            val end = records.size.toLong()
            TopicReply.Records(records.drop(from.toInt()), end, end)
        }
    }

    private fun write(key: String, value: ByteArray?, onDone: (Boolean) -> Unit) {
        records += KeyedRecord(key, value, records.size.toLong())
        loop.execute { onDone(true) }
    }

    private fun answer(delayMs: Long, onReply: (TopicReply) -> Unit, reply: () -> TopicReply) {
        val unavailable = TopicReply.Unavailable("silent")
        loop.schedule({ onReply(if (silent) unavailable else reply()) }, delayMs, TimeUnit.MILLISECONDS)
    }
}
