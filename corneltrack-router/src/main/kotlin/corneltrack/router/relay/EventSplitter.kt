package corneltrack.router.relay

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"

/** Longer than any event of a valid stream; limits the memory used by an event that never ends. */
private const val MAXIMUM_EVENT_BYTES = 128 * 1024

/**
 * Holds one complete event of a stream.
 *
 * @property bytes the event as received, including the blank line that ends it; to be released by the receiver.
 * @property id the value of the event's id field, or null if it has none.
 */
internal class StreamEvent(val bytes: ByteBuf, val id: String?)

/** Splits the bytes of a stream of server-sent events into complete events. */
internal class EventSplitter : AutoCloseable {
    private var pending: ByteBuf = Unpooled.buffer()

    /** Where the current line starts, relative to the reader index. */
    private var lineOffset = 0

    /** Where the search for the end of the current line continues, relative to the reader index. */
    private var searchOffset = 0

    /** Whether bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean get() = pending.isReadable

    /** The length of the incomplete event, in bytes. */
    val partialEventBytes: Int get() = pending.readableBytes()

    /** Whether the incomplete event exceeds the maximum length. */
    val partialEventTooLong: Boolean get() = partialEventBytes > MAXIMUM_EVENT_BYTES

    /** Appends [data] and returns the events that it completes. Does not release [data]. */
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

    /** Removes the bytes of the incomplete event from the buffer and returns them. */
    fun takePartialEvent(): ByteBuf {
        lineOffset = 0
        searchOffset = 0
        return pending.readBytes(pending.readableBytes())
    }

    /** Returns the length of the next event with its blank line, or 0 if it is incomplete. Scans each byte once. */
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

    /** Whether the current line, which has [length] bytes including its end, is blank. */
    private fun isBlank(length: Int): Boolean =
        length == 1 || (length == 2 && pending.getByte(pending.readerIndex() + lineOffset) == CARRIAGE_RETURN)

    override fun close() {
        if (pending.refCnt() > 0) pending.release()
    }
}

/** Returns the value of the first id field of this event, or null. */
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
