package corneltrack.router.relay

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"

/** Longer than any event of a sound stream; bounds the memory that an event without an end takes. */
private const val MAXIMUM_EVENT_BYTES = 128 * 1024

/**
 * Holds one complete event of a stream with the blank line that ends it.
 *
 * @property id the event's number, or null where it has none.
 */
internal class StreamEvent(val bytes: ByteBuf, val id: String?)

/** Splits the bytes of an event stream into complete events. */
internal class EventSplitter : AutoCloseable {
    private var pending: ByteBuf = Unpooled.buffer()

    /** Where the line under way begins and where the search for its end goes on, from the reader's position. */
    private var lineOffset = 0
    private var searchOffset = 0

    /** Whether the stream stands in the middle of an event. */
    val hasPartialEvent: Boolean get() = pending.isReadable

    /** Whether the event under way is longer than any of a sound stream. */
    val tooLong: Boolean get() = pending.readableBytes() > MAXIMUM_EVENT_BYTES

    /** Takes in [data] and returns the events that it completes. Does not release [data]. */
    fun feed(data: ByteBuf): List<StreamEvent> {
        pending.writeBytes(data, data.readerIndex(), data.readableBytes())
        val events = ArrayList<StreamEvent>(1)
        var length = eventLength()
        while (length > 0) {
            val bytes = pending.readBytes(length)
            events += StreamEvent(bytes, bytes.eventId())
            length = eventLength()
        }
        pending.discardSomeReadBytes()
        return events
    }

    /** Returns the bytes of an event that was not completed, and forgets them. */
    fun takePartialEvent(): ByteBuf {
        lineOffset = 0
        searchOffset = 0
        return pending.readBytes(pending.readableBytes())
    }

    /** Returns the bytes up to the end of the next blank line, or 0 where it has not come; looks at each byte once. */
    private fun eventLength(): Int {
        while (true) {
            val length = pending.readableBytes()
            val lineEnd = pending.bytesBefore(pending.readerIndex() + searchOffset, length - searchOffset, LINE_FEED)
            if (lineEnd < 0) {
                searchOffset = length
                return 0
            }
            val nextLine = searchOffset + lineEnd + 1
            val endsEvent = lineOffset > 0 && isBlank(nextLine - lineOffset)
            lineOffset = if (endsEvent) 0 else nextLine
            searchOffset = lineOffset
            if (endsEvent) return nextLine
        }
    }

    /** Returns whether the line under way, [length] bytes with its end, is blank. */
    private fun isBlank(length: Int): Boolean =
        length == 1 || (length == 2 && pending.getByte(pending.readerIndex() + lineOffset) == CARRIAGE_RETURN)

    override fun close() {
        if (pending.refCnt() > 0) pending.release()
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
