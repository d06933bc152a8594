package corneltrack.router.relay

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"

/** Longer than any event of a sound stream; bounds the memory and the scanning that an event without an end takes. */
private const val LONGEST_EVENT_BYTES = 128 * 1024

/**
 * Holds one complete event of a stream with the blank line that ends it.
 *
 * @property id the event's number, or null where it has none.
 */
internal class StreamEvent(val bytes: ByteBuf, val id: String?)

/** Splits the bytes of an event stream into complete events. */
internal class EventSplitter : AutoCloseable {
    private var pending: ByteBuf = Unpooled.buffer()

    /** Whether the stream stands in the middle of an event. */
    val midEvent: Boolean get() = pending.isReadable

    /** Whether the event under way is longer than any of a sound stream. */
    val overlong: Boolean get() = pending.readableBytes() > LONGEST_EVENT_BYTES

    /** Takes in [data] and returns the events that it completes. Does not release [data]. */
    fun feed(data: ByteBuf): List<StreamEvent> {
        pending.writeBytes(data, data.readerIndex(), data.readableBytes())
        val events = ArrayList<StreamEvent>(1)
        var end = pending.endOfEvent()
        while (end >= 0) {
            val bytes = pending.readBytes(end - pending.readerIndex())
            events += StreamEvent(bytes, bytes.eventId())
            end = pending.endOfEvent()
        }
        pending.discardSomeReadBytes()
        return events
    }

    /** Returns the bytes of an event that was not completed, and forgets them. */
    fun rest(): ByteBuf = pending.readBytes(pending.readableBytes())

    override fun close() {
        if (pending.refCnt() > 0) pending.release()
    }
}

/** Returns the index after the next blank line, or -1. */
private fun ByteBuf.endOfEvent(): Int {
    var lineStart = readerIndex()
    while (true) {
        val lineEnd = indexOf(lineStart, writerIndex(), LINE_FEED)
        if (lineEnd < 0) return -1
        val blank = lineEnd == lineStart || (lineEnd == lineStart + 1 && getByte(lineStart) == CARRIAGE_RETURN)
        if (blank && lineStart > readerIndex()) return lineEnd + 1
        lineStart = lineEnd + 1
    }
}

/** Returns the value of the first field of this event that holds its number, or null. */
private fun ByteBuf.eventId(): String? {
    var lineStart = readerIndex()
    while (lineStart < writerIndex()) {
        val lineEnd = indexOf(lineStart, writerIndex(), LINE_FEED).let { if (it < 0) writerIndex() else it }
        if (startsWithId(lineStart, lineEnd)) {
            val valueStart = lineStart + ID_FIELD.length
            return toString(valueStart, lineEnd - valueStart, Charsets.UTF_8).trim()
        }
        lineStart = lineEnd + 1
    }
    return null
}

private fun ByteBuf.startsWithId(start: Int, end: Int): Boolean =
    end - start >= ID_FIELD.length && ID_FIELD.indices.all { getByte(start + it) == ID_FIELD[it].code.toByte() }
