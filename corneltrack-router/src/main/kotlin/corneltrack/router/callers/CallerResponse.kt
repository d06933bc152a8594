package corneltrack.router.callers

import corneltrack.router.HOP_HEADERS
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
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.math.BigDecimal

/** When a repeat makes sense where nothing better is known, in ms. */
internal const val RETRY_AFTER_MS: Long = 1_000

/** The header that tells whether a request ran. */
internal const val OUTCOME_HEADER: String = "x-corneltrack-outcome"

private val errorJson = Json { encodeDefaults = true }

/** Carries an error in the shape that clients of the OpenAI interface read. */
@Serializable
internal data class ErrorBody(val error: ErrorDetail)

@Serializable
internal data class ErrorDetail(
    val message: String,
    val code: String,
    val outcome: String,
    val type: String = "corneltrack_error",
    val param: String? = null,
)

/**
 * Writes one answer to a caller. Used on the connection's event loop only.
 *
 * @param keepAlive whether the connection takes a further request, as known when the head is written.
 * @param onWritten runs once when the last byte has left or the caller is gone.
 * @param onAnswered runs when the answer has ended and the next request may be read.
 */
internal class CallerResponse(
    private val context: ChannelHandlerContext,
    private val keepAlive: () -> Boolean,
    private val onWritten: () -> Unit = {},
    private val onAnswered: () -> Unit,
) : ResponseSink {
    /** Cancels the request when the caller leaves. */
    var onGone: () -> Unit = {}

    /** Tells the request's attempt whether the caller's connection takes more. */
    var onWritable: ((Boolean) -> Unit)? = null
    private var ended = false
    private var closes = false

    override val writable: Boolean get() = context.channel().isWritable

    override fun head(response: HttpResponse) {
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status())
        head.headers().set(response.headers())
        HOP_HEADERS.forEach { head.headers().remove(it) }
        val empty = response.status().code() in BODILESS
        if (!HttpUtil.isContentLengthSet(response) && !empty) {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        closes = !keepAlive()
        if (closes) {
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
        val detail = ErrorDetail(refusal.message, refusal.code, refusal.outcome.text)
        val response = full(refusal.status, errorJson.encodeToString(ErrorBody(detail)), refusal.closes)
        response.headers().set(OUTCOME_HEADER, refusal.outcome.text)
        refusal.retryAfterMs?.let { response.headers().set(HttpHeaderNames.RETRY_AFTER, inSeconds(it)) }
        write(response)
    }

    /** Sends a whole answer of the router's own that is no error. */
    fun answer(body: String) = write(full(HttpResponseStatus.OK, body))

    override fun abort(reason: String) {
        if (!ended) {
            ended = true
            onWritten()
        }
        context.close()
    }

    /** Cancels the request unless its answer has ended. */
    fun onCallerGone() {
        if (!ended) {
            ended = true
            onWritten()
            onGone()
        }
    }

    private fun full(status: HttpResponseStatus, body: String, last: Boolean = false): DefaultFullHttpResponse {
        val content = Unpooled.copiedBuffer(body, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            .setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        closes = last || !keepAlive()
        if (closes) {
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
        val gone = ended
        ended = true
        if (!gone) {
            written.addListener { onWritten() }
        }
        if (closes) {
            written.addListener(ChannelFutureListener.CLOSE)
        }
        onAnswered()
    }
}

/** Returns [ms] in seconds, with a fraction only where there is one. */
private fun inSeconds(ms: Long): String =
    if (ms % MS_PER_SECOND == 0L) "${ms / MS_PER_SECOND}" else BigDecimal.valueOf(ms, MS_DIGITS).toPlainString()

private const val MS_PER_SECOND = 1_000L
private const val MS_DIGITS = 3
private val BODILESS = setOf(HttpResponseStatus.NO_CONTENT.code(), HttpResponseStatus.NOT_MODIFIED.code())
