package corneltrack.router

import corneltrack.policy.AttemptResult
import corneltrack.world.Endpoint
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit.MILLISECONDS

private const val RESUME_ANSWER_MS = 2_000L
private const val RESUME_PERIOD_MS = 500L

/** What an attempt tells its owner, on the request's event loop. */
internal interface AttemptListener {
    /** The first byte of the answer's head is there. */
    fun onFirstByte()

    /** A piece of the answer's body is there. */
    fun onContent(data: ByteBuf)

    /** The answer broke off and its endpoint can't be reached to resume it, so far. */
    fun onUnreachable()

    /** The answer goes on from byte [offset] of its body. */
    fun onResumed(offset: Long)

    /** The attempt is over; nothing follows. */
    fun onEnd(end: AttemptResult)
}

/**
 * Sends one request to one endpoint once, and relays the answer to the request's sink.
 *
 * Where the pool's engines keep their streams, an answer that breaks off is read on from the first byte that is
 * missing. Only used on the request's event loop.
 */
internal class Attempt(
    private val request: RoutedRequest,
    private val endpoint: Endpoint,
    private val connections: EndpointConnections,
    private val clock: Clock,
    private val listener: AttemptListener,
) {
    private val stream = if (request.pool.resumable) ResumableStream() else null
    private val silence = IdleTimeout(request.eventLoop, clock) { breakOff(it, silent = true) }
    private var channel: Channel? = null
    private var cancelled = false
    private var reused = false
    private var delivered = false
    private var refusedStatus: Int? = null
    private var status = 0
    private var ended = false

    /** Begins. A request that must not run twice never uses a kept connection, which may have gone silent. */
    fun begin() {
        val kept = if (request.idempotent) connections.acquire(request.eventLoop, endpoint, clock()) else null
        if (kept != null) {
            reused = true
            send(kept, request.message.encode(endpoint, stream))
        } else {
            connect({ send(it, request.message.encode(endpoint, stream)) }) {
                end(AttemptResult.NotSent("connect: $it"))
            }
        }
    }

    /** Ends the attempt because the caller left; the endpoint sees its connection closed, or the stream cancelled. */
    fun cancel() {
        leave()
        cancelled = true
        if (stream == null) end(AttemptResult.CallerGone) else cancel(stream)
    }

    /** Reads on or pauses, as the caller's connection allows. */
    fun onWritable(writable: Boolean) {
        channel?.config()?.isAutoRead = writable
        silence.onSign()
    }

    /** Holds the slot until the endpoint has confirmed that it runs the stream no longer. */
    private fun cancel(stream: ResumableStream) {
        val gone = { end(AttemptResult.CallerGone) }
        request.eventLoop.schedule(gone, RESUME_ANSWER_MS, MILLISECONDS)
        connect({ connected ->
            connected.pipeline().addLast(ResponseEndHandler(gone))
            connected.writeAndFlush(stream.cancellation(endpoint))
        }) { gone() }
    }

    private fun connect(onConnected: (Channel) -> Unit, onFailure: (reason: String?) -> Unit) {
        val cancels = cancelled
        val connecting = connections.connect(request.eventLoop, endpoint, clock())
        connecting.addListener {
            when {
                ended || cancelled != cancels -> connecting.channel().close()
                connecting.isSuccess -> onConnected(connecting.channel())
                else -> onFailure(connecting.cause().message)
            }
        }
    }

    private fun send(connected: Channel, message: DefaultFullHttpRequest) {
        channel = connected
        connected.pipeline().addLast(AnswerRelay())
        connected.writeAndFlush(message)
        val resuming = stream?.resuming == true
        silence.watch(connected, if (resuming) RESUME_ANSWER_MS else request.pool.silenceLimitMs)
    }

    /** Stops to listen to the present connection. */
    private fun leave() {
        silence.stop()
        channel?.let { left ->
            channel = null
            left.close()
        }
    }

    private fun breakOff(reason: String, silent: Boolean = false) {
        leave()
        val broken = AttemptResult.Broken(reason, delivered, reused && !delivered, silent, clock())
        val resumes = stream != null && refusedStatus == null && (delivered || !request.idempotent)
        if (resumes) resume(stream!!, broken) else end(broken)
    }

    private fun resume(stream: ResumableStream, broken: AttemptResult.Broken) {
        val nowMs = clock()
        val tries = stream.onBreak(broken, nowMs)
        if (tries == 1) {
            listener.onUnreachable()
        }
        if (stream.isLost(nowMs)) {
            end(stream.firstBreak ?: broken)
            return
        }
        val delayMs = if (tries == 0) 0 else RESUME_PERIOD_MS
        request.eventLoop.schedule({
            if (!ended && !cancelled) {
                connect({ send(it, stream.resumption(endpoint)) }) { breakOff("connect: $it") }
            }
        }, delayMs, MILLISECONDS)
    }

    private fun end(end: AttemptResult) {
        if (ended) {
            return
        }
        ended = true
        silence.stop()
        listener.onEnd(end)
    }

    private inner class AnswerRelay : ChannelInboundHandlerAdapter() {
        private var keepAlive = false

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            silence.onSign()
            try {
                if (context.channel() !== channel) return
                if (message is HttpResponse) onHead(context, message)
                if (message is HttpContent && context.channel() === channel) onContent(context, message)
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            if (context.channel() === channel) breakOff("connection closed in the middle of an answer")
        }

        @Deprecated("Netty keeps this method for inbound handlers")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            if (context.channel() === channel) breakOff(cause.message ?: cause.javaClass.simpleName)
        }

        private fun onHead(context: ChannelHandlerContext, head: HttpResponse) {
            when {
                head.decoderResult().isFailure -> breakOff("unreadable answer")
                head.status().code() == HttpResponseStatus.CONTINUE.code() -> Unit
                stream?.resuming == true -> onResumedHead(context, stream, head)
                else -> onFirstHead(head)
            }
        }

        private fun onFirstHead(head: HttpResponse) {
            status = head.status().code()
            keepAlive = HttpUtil.isKeepAlive(head)
            listener.onFirstByte()
            if (request.idempotent && head.status().refuses()) {
                refusedStatus = status
            } else {
                delivered = true
                request.sink.head(head)
            }
        }

        private fun onResumedHead(context: ChannelHandlerContext, stream: ResumableStream, head: HttpResponse) {
            if (head.status() != HttpResponseStatus.PARTIAL_CONTENT) {
                leave()
                end(stream.firstBreak ?: AttemptResult.Broken("the stream is gone", delivered, atMs = clock()))
                return
            }
            listener.onResumed(stream.offset)
            stream.onResumed()
            silence.watch(context.channel(), request.pool.silenceLimitMs)
            if (!delivered) {
                head.status = HttpResponseStatus.OK
                head.headers().remove(HttpHeaderNames.CONTENT_RANGE)
                onFirstHead(head)
            }
        }

        private fun onContent(context: ChannelHandlerContext, content: HttpContent) {
            if (content.decoderResult().isFailure) {
                breakOff("unreadable answer")
                return
            }
            if (refusedStatus == null && content.content().isReadable) {
                stream?.onDelivered(content.content().readableBytes())
                listener.onContent(content.content())
                request.sink.content(content.content().retain())
                context.channel().config().isAutoRead = request.sink.writable
            }
            if (content is LastHttpContent) {
                onLast(context)
            }
        }

        private fun onLast(context: ChannelHandlerContext) {
            channel = null
            context.pipeline().remove(this)
            if (keepAlive) connections.release(context.channel(), endpoint, clock()) else context.close()
            val refused = refusedStatus
            if (refused == null) {
                request.sink.end()
            }
            end(if (refused == null) AttemptResult.Done(status) else AttemptResult.Refused(refused))
        }
    }
}

private fun HttpResponseStatus.refuses(): Boolean =
    this == HttpResponseStatus.TOO_MANY_REQUESTS || this == HttpResponseStatus.SERVICE_UNAVAILABLE
