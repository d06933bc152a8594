package corneltrack.router

import corneltrack.policy.AttemptEnd
import corneltrack.world.Endpoint
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

private const val SILENCE_CHECKS = 4

/** What an attempt tells its owner, on the request's event loop. */
internal interface AttemptListener {
    /** The first byte of the answer's head is there. */
    fun onFirstByte()

    /** A piece of the answer's body is there. */
    fun onContent(data: ByteBuf)

    /** The attempt is over; nothing follows. */
    fun onEnd(end: AttemptEnd)
}

/**
 * Sends one request to one endpoint once, and relays the answer to the request's sink.
 *
 * Only used on the request's event loop.
 */
internal class Attempt(
    private val request: RoutedRequest,
    private val endpoint: Endpoint,
    private val connections: EndpointConnections,
    private val clock: Clock,
    private val listener: AttemptListener,
) {
    private var channel: Channel? = null
    private var timer: ScheduledFuture<*>? = null
    private var lastReadMs = 0L
    private var reused = false
    private var delivered = false
    private var refusedStatus: Int? = null
    private var status = 0
    private var ended = false

    /** Begins. A request that must not run twice never uses a kept connection, which may have gone silent. */
    fun begin() {
        val kept = if (request.repeatable) connections.take(request.eventLoop, endpoint, clock()) else null
        if (kept != null) {
            reused = true
            send(kept)
            return
        }
        val connecting = connections.connect(request.eventLoop, endpoint, clock())
        connecting.addListener {
            when {
                ended -> connecting.channel().close()
                connecting.isSuccess -> send(connecting.channel())
                else -> end(AttemptEnd.NotSent("connect: ${connecting.cause().message}"))
            }
        }
    }

    /** Ends the attempt because the caller left; the endpoint sees its connection closed. */
    fun cancel() {
        channel?.close()
        end(AttemptEnd.CallerGone)
    }

    /** Reads on or pauses, as the caller's connection allows. */
    fun onWritable(writable: Boolean) {
        channel?.config()?.isAutoRead = writable
        lastReadMs = clock()
    }

    private fun send(connected: Channel) {
        channel = connected
        lastReadMs = clock()
        connected.pipeline().addLast(AnswerRelay())
        connected.writeAndFlush(request.message.encode(endpoint))
        watchSilence(connected)
    }

    private fun watchSilence(connected: Channel) {
        val limit = request.pool.silenceLimitMs
        val period = maxOf(1, limit / SILENCE_CHECKS)
        timer = connected.eventLoop().scheduleAtFixedRate({
            val paused = !connected.config().isAutoRead
            if (!paused && clock() - lastReadMs > limit) {
                breakOff("silent for more than $limit ms", silent = true)
            }
        }, period, period, TimeUnit.MILLISECONDS)
    }

    private fun breakOff(reason: String, silent: Boolean = false) {
        channel?.close()
        end(AttemptEnd.Broken(reason, delivered, reused && !delivered, silent))
    }

    private fun end(end: AttemptEnd) {
        if (ended) {
            return
        }
        ended = true
        timer?.cancel(false)
        listener.onEnd(end)
    }

    private inner class AnswerRelay : ChannelInboundHandlerAdapter() {
        private var keepAlive = false

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            lastReadMs = clock()
            try {
                if (message is HttpResponse) onHead(context, message)
                if (message is HttpContent && !ended) onContent(context, message)
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            breakOff("connection closed in the middle of an answer")
        }

        @Deprecated("Netty keeps this method for inbound handlers")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            breakOff(cause.message ?: cause.javaClass.simpleName)
        }

        private fun onHead(context: ChannelHandlerContext, head: HttpResponse) {
            if (head.decoderResult().isFailure) {
                breakOff("unreadable answer")
                context.close()
                return
            }
            if (head.status().code() == HttpResponseStatus.CONTINUE.code()) {
                return
            }
            status = head.status().code()
            keepAlive = HttpUtil.isKeepAlive(head)
            listener.onFirstByte()
            if (request.repeatable && head.status().refuses()) {
                refusedStatus = status
            } else {
                delivered = true
                request.sink.head(head)
            }
        }

        private fun onContent(context: ChannelHandlerContext, content: HttpContent) {
            if (content.decoderResult().isFailure) {
                breakOff("unreadable answer")
                return
            }
            if (refusedStatus == null && content.content().isReadable) {
                listener.onContent(content.content())
                request.sink.content(content.content().retain())
                context.channel().config().isAutoRead = request.sink.writable
            }
            if (content is LastHttpContent) {
                onLast(context)
            }
        }

        private fun onLast(context: ChannelHandlerContext) {
            context.pipeline().remove(this)
            if (keepAlive) connections.keep(context.channel(), endpoint, clock()) else context.close()
            val refused = refusedStatus
            if (refused == null) {
                request.sink.end()
            }
            end(if (refused == null) AttemptEnd.Done(status) else AttemptEnd.Refused(refused))
        }
    }
}

private fun HttpResponseStatus.refuses(): Boolean =
    this == HttpResponseStatus.TOO_MANY_REQUESTS || this == HttpResponseStatus.SERVICE_UNAVAILABLE

private fun OutgoingMessage.encode(endpoint: Endpoint): DefaultFullHttpRequest {
    val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body))
    message.headers().set(headers)
    message.headers().set(HttpHeaderNames.HOST, endpoint.address)
    if (body.isNotEmpty()) {
        message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.size)
    }
    return message
}
