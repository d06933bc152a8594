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
import java.math.BigDecimal

/** The delay before a retry where no better estimate is known, in ms. */
internal const val DEFAULT_RETRY_AFTER_MS: Long = 1_000

/** The response header that states whether the request ran, as an [Outcome]. */
internal const val OUTCOME_HEADER: String = "x-corneltrack-outcome"

/**
 * Writes one response to a caller. Only used on the connection's event loop.
 *
 * @param keepAlive returns whether the connection stays open for a further request; evaluated when the head is written.
 * @param onWritten called once, when the last byte has been written or the caller has disconnected.
 * @param onEnded called when the last byte has been passed to the connection, so that the next request may be read.
 */
internal class CallerResponse(
    private val context: ChannelHandlerContext,
    private val keepAlive: () -> Boolean,
    private val onWritten: () -> Unit = {},
    private val onEnded: () -> Unit,
) : ResponseSink {
    /** Called if the caller disconnects before the response has ended; cancels the request. */
    var onDisconnect: () -> Unit = {}

    /** Called when the connection's write buffer fills up (false) or drains (true), for backpressure. */
    var onWritable: ((Boolean) -> Unit)? = null
    private var ended = false
    private var closesConnection = false

    override val writable: Boolean get() = context.channel().isWritable

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
        context.writeAndFlush(head)
    }

    override fun content(data: ByteBuf) {
        context.writeAndFlush(DefaultHttpContent(data))
    }

    override fun end() {
        finish(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
    }

    override fun refuse(refusal: Refusal) {
        val response = jsonResponse(refusal.status, refusal.body)
        response.headers().set(OUTCOME_HEADER, refusal.outcome.text)
        refusal.retryAfterMs?.let { response.headers().set(HttpHeaderNames.RETRY_AFTER, toSeconds(it)) }
        write(response)
    }

    /** Sends a complete response with status 200 and the JSON [body]. */
    fun sendJson(body: String) = write(jsonResponse(HttpResponseStatus.OK, body))

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

    private fun jsonResponse(status: HttpResponseStatus, body: String): DefaultFullHttpResponse {
        val content = Unpooled.copiedBuffer(body, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            .setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        closesConnection = !keepAlive()
        if (closesConnection) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
        return response
    }

    private fun write(response: DefaultFullHttpResponse) {
        if (ended) {
            response.release()
            return
        }
        finish(context.writeAndFlush(response))
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

/** Formats [ms] in seconds, without a fraction for whole seconds. */
private fun toSeconds(ms: Long): String =
    if (ms % MS_PER_SECOND == 0L) "${ms / MS_PER_SECOND}" else BigDecimal.valueOf(ms, MS_DECIMALS).toPlainString()

private const val MS_PER_SECOND = 1_000L
private const val MS_DECIMALS = 3
private val STATUSES_WITHOUT_BODY = setOf(HttpResponseStatus.NO_CONTENT.code(), HttpResponseStatus.NOT_MODIFIED.code())
