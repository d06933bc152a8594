package corneltrack.wire

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString

private const val FIRST_BYTE = 'H'.code.toByte()
private const val COLON = ':'.code.toByte()
private val VERSION = Regex("""HTTP/1\.\d""")
private val STATUS = Regex("""[1-5]\d\d""")
private val CONTROL_CHARACTER = Regex("""[\x00-\x08\x0a-\x1f\x7f]""")

/**
 * Decodes the responses on a client's connection, which carries one request at a time.
 *
 * Netty's client codec pairs responses with requests by their order. Here, the response to a HEAD request, which has no
 * body, is the one that answers the request according to [expect].
 *
 * Netty's decoder reads more than the grammar of HTTP/1.1 (RFC 9112) allows. Here, a head or trailer that the grammar
 * forbids fails: a status line with another version, a status outside 100 to 599 or a control character; bytes before
 * it; a field name that does not end at its colon; and a transfer coding that no request asks for.
 */
public class ResponseDecoder : HttpResponseDecoder() {
    private var answersHead: (HttpResponse) -> Boolean = { false }

    /** Whether the next byte is the first of a response. */
    private var atStart = true

    /** Whether a response has begun and not ended. */
    public val inResponse: Boolean get() = !atStart

    /** Whether the present response began with other bytes than its status line. */
    private var misplacedBytes = false

    /** Whether bytes have been received behind the last decoded message. */
    public val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    /** Announces a request with [method]; [isAnswer] tells its response, any response by default. */
    public fun expect(method: HttpMethod, isAnswer: (HttpResponse) -> Boolean = { true }) {
        answersHead = if (method == HttpMethod.HEAD) isAnswer else { _ -> false }
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        super.isContentAlwaysEmpty(message) || message is HttpResponse && answersHead(message)

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (atStart && buffer.isReadable) {
            atStart = false
            misplacedBytes = buffer.getByte(buffer.readerIndex()) != FIRST_BYTE
        }
        val decodedBefore = out.size
        super.decode(context, buffer, out)
        for (index in decodedBefore until out.size) onDecoded(out[index])
    }

    private fun onDecoded(message: Any) {
        if (message is HttpResponse && message.hasForeignTransferCoding) {
            message.decoderResult = DecoderResult.failure(IllegalArgumentException("unrequested transfer coding"))
        }
        if (message is LastHttpContent) atStart = true
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status, reason) = initialLine
        val valid = !misplacedBytes && VERSION.matches(version) && STATUS.matches(status) &&
            !CONTROL_CHARACTER.containsMatchIn(reason)
        require(valid) { "not a status line of HTTP/1.1" }
        return super.createMessage(initialLine)
    }

    override fun splitHeaderName(line: ByteArray, start: Int, length: Int): AsciiString {
        require(length > 0 && line[start + length] == COLON) { "a field name that does not end at its colon" }
        return super.splitHeaderName(line, start, length)
    }
}

private val HttpResponse.hasForeignTransferCoding: Boolean
    get() = headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        .any { !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(it) }

private val STATUS_LINE = Regex("""HTTP/\d\.\d \d{3}""")

/**
 * Whether this head contains the status line of another one, as where the peer cut off a response and began the next.
 *
 * Such a head has the status of one response and the headers of the other.
 */
public val HttpResponse.containsStatusLine: Boolean
    get() = STATUS_LINE.containsMatchIn(status().reasonPhrase()) ||
        headers().any { STATUS_LINE.containsMatchIn(it.value) }

/** The decoder of the responses on this connection. */
public val Channel.responseDecoder: ResponseDecoder get() = pipeline().get(ResponseDecoder::class.java)
