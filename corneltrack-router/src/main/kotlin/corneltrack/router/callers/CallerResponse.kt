package corneltrack.router.callers

import corneltrack.router.HOP_BY_HOP_HEADERS
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

/** The delay before a retry where no better estimate is known, in ms. */
internal const val DEFAULT_RETRY_AFTER_MS: Long = 1_000

/** The approximate size of a head or of a refusal, which only the measure of a reader's speed needs. */
private const val HEAD_BYTES = 256

/**
 * Writes one response to a caller. Only used on the connection's event loop.
 *
 * @param output writes to the caller.
 * @param keepAlive returns whether the connection stays open for a further request; evaluated when the head is written.
 * @param onWritten called once, when the last byte has been written or the caller has disconnected.
 * @param onEnded called when the last byte has been passed to the connection, so that the next request may be read.
 */
internal class CallerResponse(
    private val context: ChannelHandlerContext,
    private val output: CallerOutput,
    private val keepAlive: () -> Boolean,
    private val onWritten: () -> Unit = {},
    private val onEnded: () -> Unit,
) : ResponseSink {
    /** Called if the caller disconnects before the response has ended; cancels the request. */
    var onDisconnect: () -> Unit = {}

    /** Called when what the caller has not read becomes too much (false) or little (true), for backpressure. */
    var onWritable: ((Boolean) -> Unit)? = null
    private var ended = false
    private var closesConnection = false

    override val writable: Boolean get() = output.writable

    override fun head(response: HttpResponse) {
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status())
        head.headers().set(response.headers())
        HOP_BY_HOP_HEADERS.forEach { head.headers().remove(it) }
        val bodiless = response.status().code() in STATUSES_WITHOUT_BODY
        if (!HttpUtil.isContentLengthSet(response) && !bodiless) {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        closesConnection = !keepAlive()
        if (closesConnection) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
        output.write(head, HEAD_BYTES)
    }

    override fun content(data: ByteBuf) {
        val bytes = data.readableBytes()
        output.write(DefaultHttpContent(data), bytes)
    }

    override fun end() {
        finish(output.write(LastHttpContent.EMPTY_LAST_CONTENT, 0))
    }

    override fun refuse(refusal: Refusal) {
        if (ended) return
        closesConnection = !keepAlive()
        finish(output.write(refusal.encoded(closesConnection), HEAD_BYTES))
    }

    /** Sends a complete response with status 200 and the JSON [body]. */
    fun sendJson(body: String) {
        if (ended) return
        closesConnection = !keepAlive()
        finish(output.write(jsonResponse(HttpResponseStatus.OK, body, closesConnection), body.length))
    }

    override fun abort(reason: String) {
        if (!ended) {
            ended = true
            onWritten()
        }
        context.close()
    }

    /** Cancels the request unless its response has ended. */
    fun onCallerDisconnected() {
        if (!ended) {
            ended = true
            onWritten()
            onDisconnect()
        }
    }

    private fun finish(written: ChannelFuture) {
        val alreadyEnded = ended
        ended = true
        if (!alreadyEnded) {
            written.addListener { onWritten() }
        }
        if (closesConnection) {
            written.addListener(ChannelFutureListener.CLOSE)
        }
        onEnded()
    }
}

/** Returns a response with the JSON [body], which says so if it [closes] the connection. */
internal fun jsonResponse(status: HttpResponseStatus, body: String, closes: Boolean): DefaultFullHttpResponse {
    val content = Unpooled.copiedBuffer(body, Charsets.UTF_8)
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
    response.headers()
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
    if (closes) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    return response
}

private val STATUSES_WITHOUT_BODY = setOf(HttpResponseStatus.NO_CONTENT.code(), HttpResponseStatus.NOT_MODIFIED.code())
