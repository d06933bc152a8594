package corneltrack.wire

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.AsciiString

/** The memory of one decoded header line beside its text: an entry of the headers, a name and a value. */
private const val LINE_OVERHEAD_BYTES = 160

/** The name and the value of a line are each held once as text of one byte a character, some of them twice. */
private const val DECODED_BYTES_PER_BYTE = 2

/** The shortest line of a head: a name of one letter, a colon and the line end. */
private const val SHORTEST_LINE_BYTES = 4

/** Returns the lines that a head of [headBytes] may have: as many as fit, so that no head within its size has more. */
public fun maximumHeadLines(headBytes: Int): Int = headBytes / SHORTEST_LINE_BYTES

/** Decides when a [GatedRequestDecoder] goes on, and hears what its messages take. Confined to the event loop. */
public interface DecoderGate {
    /** Whether messages are decoded. */
    public val open: Boolean

    /** Called with the [bytes] that stay undecoded while the gate is closed. */
    public fun onHeldBack(bytes: Int)

    /** Called with the memory that the head of the current request takes, in bytes, whenever it has grown. */
    public fun onHeadCost(costBytes: Int)
}

/**
 * Decodes requests only while its gate is open, so that requests sent ahead stay bytes.
 *
 * A decoded header line of five bytes takes some 160 bytes, so that requests that wait must not be decoded. A head or
 * trailer with more than [maximumLines] lines fails with a [TooLongHttpHeaderException].
 */
public open class GatedRequestDecoder(
    config: HttpDecoderConfig,
    private val maximumLines: Int,
    private val gate: DecoderGate,
) : HttpRequestDecoder(config) {
    private var lines = 0
    private var costBytes = 0
    private var begun = false
    private var inBody = false

    /** The bytes that have been received and not decoded. */
    public val undecodedBytes: Int get() = actualReadableBytes()

    /** The memory that these bytes take, which may be more than they are. */
    public val undecodedCapacity: Int get() = internalBuffer().capacity()

    /** Whether a part of a head has arrived and its end has not. */
    public val inHead: Boolean get() = !inBody && (begun || undecodedBytes > 0)

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (!gate.open) {
            gate.onHeldBack(buffer.readableBytes())
            return
        }
        val decodedBefore = out.size
        val linesBefore = lines
        val bytesBefore = buffer.readableBytes()
        super.decode(context, buffer, out)
        onLines(lines - linesBefore, if (inBody) 0 else bytesBefore - buffer.readableBytes())
        for (index in decodedBefore until out.size) onDecoded(out[index])
    }

    private fun onLines(added: Int, headBytes: Int) {
        if (added == 0 && headBytes == 0) return
        costBytes += added * LINE_OVERHEAD_BYTES + headBytes * DECODED_BYTES_PER_BYTE
        gate.onHeadCost(costBytes)
    }

    private fun onDecoded(message: Any) {
        if (message is HttpMessage) {
            inBody = true
            lines = 0
        }
        if (message is LastHttpContent) {
            begun = false
            inBody = false
            lines = 0
            costBytes = 0
        }
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        begun = true
        return super.createMessage(initialLine)
    }

    override fun splitHeaderName(line: ByteArray, start: Int, length: Int): AsciiString {
        if (++lines > maximumLines) throw TooLongHttpHeaderException("more than $maximumLines lines in a head")
        return super.splitHeaderName(line, start, length)
    }
}
