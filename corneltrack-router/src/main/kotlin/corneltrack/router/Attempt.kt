package corneltrack.router

import corneltrack.policy.AttemptResult
import corneltrack.wire.containsStatusLine
import corneltrack.wire.responseDecoder
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
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AttributeKey
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit.MILLISECONDS

/** The idle timeout of a request to resume a stream, and the maximum wait for the response to a cancellation. */
private const val RESUME_TIMEOUT_MS = 2_000L
private const val RESUME_RETRY_DELAY_MS = 500L

/** Whether a response on the connection has stated the id of its request. */
private val STATES_REQUESTS = AttributeKey.valueOf<Boolean>("corneltrack.statesRequests")

/** Receives the events of an attempt, on the request's event loop. */
internal interface AttemptListener {
    /** The head of the response has been received. */
    fun onFirstByte()

    /** A part of the response's body has been received. */
    fun onContent(data: ByteBuf)

    /** The response broke and the first request to resume it failed. */
    fun onResumeFailed()

    /** The response was resumed at byte [offset] of its body. */
    fun onResumed(offset: Long)

    /** The attempt ended; this is the last call. */
    fun onEnd(result: AttemptResult)
}

/**
 * Sends a request to an endpoint once and relays the response to the request's sink.
 *
 * If the pool's engines support resumable streams, a response that breaks is resumed at the first missing byte. An
 * idempotent request of which nothing was delivered is not resumed, as it can be retried at another endpoint.
 *
 * Where the engine states no request ids, the next response on a kept connection is believed to be that of the request.
 * Only used on the request's event loop.
 */
internal class Attempt(
    private val request: RoutedRequest,
    private val endpoint: Endpoint,
    private val connections: EndpointConnections,
    private val clock: Clock,
    private val listener: AttemptListener,
) {
    private val stream = if (request.pool.resumable) ResumableStream() else null
    private val idleTimeout = IdleTimeout(request.eventLoop, clock) { onBroken(it, silent = true) }
    private var channel: Channel? = null
    private var cancelled = false
    private var reused = false
    private var delivered = false
    private var refusedStatus: Int? = null
    private var status = 0
    private var ended = false

    /**
     * Starts the attempt.
     *
     * A request that is not idempotent always uses a new connection: an idle one may be stale, and the request can't be
     * retried.
     */
    fun start() {
        val idle = if (request.idempotent) connections.acquire(request.eventLoop, endpoint, clock()) else null
        if (idle != null) {
            reused = true
            send(idle, request.message.toHttpRequest(endpoint, stream))
        } else {
            connect({ send(it, request.message.toHttpRequest(endpoint, stream)) }) {
                end(AttemptResult.NotSent("connect: $it"))
            }
        }
    }

    /** Ends the attempt after the caller disconnected: closes the connection and cancels a resumable stream. */
    fun cancel() {
        disconnect()
        cancelled = true
        if (stream == null) end(AttemptResult.CallerGone) else cancelStream(stream)
    }

    /** Reads from the endpoint only while the caller's connection is writable. */
    fun onWritable(writable: Boolean) {
        channel?.config()?.isAutoRead = writable
        idleTimeout.onActivity()
    }

    /** Ends the attempt, and so frees its slot, only after the engine has confirmed the cancellation or a timeout. */
    private fun cancelStream(stream: ResumableStream) {
        val onCancelled = { end(AttemptResult.CallerGone) }
        request.eventLoop.schedule(onCancelled, RESUME_TIMEOUT_MS, MILLISECONDS)
        connect({ connected ->
            connected.pipeline().addLast(ResponseEndHandler(onCancelled))
            connected.writeAndFlush(stream.cancelRequest(endpoint))
        }) { onCancelled() }
    }

    private fun connect(onConnected: (Channel) -> Unit, onFailure: (reason: String?) -> Unit) {
        val cancelledBefore = cancelled
        val connecting = connections.connect(request.eventLoop, endpoint, clock())
        connecting.addListener {
            when {
                ended || cancelled != cancelledBefore -> connecting.channel().close()
                connecting.isSuccess -> onConnected(connecting.channel())
                else -> onFailure(connecting.cause().message)
            }
        }
    }

    private fun send(connected: Channel, message: DefaultFullHttpRequest) {
        channel = connected
        connected.responseDecoder.expect(message.method())
        connected.pipeline().addLast(ResponseRelay())
        connected.writeAndFlush(message).addListener { written ->
            if (!written.isSuccess) {
                request.eventLoop.execute {
                    if (connected === channel) onBroken("sending failed: ${written.cause().message}")
                }
            }
        }
        val resuming = stream?.resuming == true
        idleTimeout.start(connected, if (resuming) RESUME_TIMEOUT_MS else request.pool.silenceLimitMs)
    }

    /** Closes the current connection and ignores its further events. */
    private fun disconnect() {
        idleTimeout.stop()
        channel?.let { current ->
            channel = null
            current.close()
        }
    }

    private fun onBroken(reason: String, silent: Boolean = false) {
        disconnect()
        val broken = AttemptResult.Broken(reason, delivered, reused && !delivered, silent, clock())
        val resumable = stream != null && refusedStatus == null && (delivered || !request.idempotent)
        if (resumable) resume(stream!!, broken) else end(broken)
    }

    private fun resume(stream: ResumableStream, broken: AttemptResult.Broken) {
        val nowMs = clock()
        val failures = stream.onBreak(broken, nowMs)
        if (failures == 1) {
            listener.onResumeFailed()
        }
        if (stream.isExpired(nowMs)) {
            end(stream.firstBreak ?: broken)
            return
        }
        val delayMs = if (failures == 0) 0 else RESUME_RETRY_DELAY_MS
        request.eventLoop.schedule({
            if (!ended && !cancelled) {
                connect({ send(it, stream.resumeRequest(endpoint)) }) { onBroken("connect: $it") }
            }
        }, delayMs, MILLISECONDS)
    }

    private fun end(result: AttemptResult) {
        if (ended) {
            return
        }
        ended = true
        idleTimeout.stop()
        listener.onEnd(result)
    }

    private inner class ResponseRelay : ChannelInboundHandlerAdapter() {
        private var keepAlive = false

        /** Whether an interim response is being read, which has an end of its own. */
        private var interim = false

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            idleTimeout.onActivity()
            try {
                if (context.channel() !== channel) return
                if (message is HttpResponse) onHead(context, message)
                val ownContent = message is HttpContent && !interim && context.channel() === channel
                if (ownContent) onContent(context, message as HttpContent)
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            if (context.channel() === channel) onBroken("connection closed in the middle of an answer")
        }

        @Deprecated("Netty keeps this method for inbound handlers")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            if (context.channel() === channel) onBroken(cause.message ?: cause.javaClass.simpleName)
        }

        private fun onHead(context: ChannelHandlerContext, head: HttpResponse) {
            interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
            when {
                head.decoderResult().isFailure || head.containsStatusLine -> onBroken("unreadable answer")
                head.status() == HttpResponseStatus.SWITCHING_PROTOCOLS -> onBroken("unrequested change of protocol")
                interim -> Unit
                stream?.resuming == true -> onResumedHead(context, stream, head)
                isStray(context.channel(), head) -> onBroken("a response that does not state its request")
                else -> onResponseHead(head)
            }
        }

        /** An engine need not state request ids; one that has done so on this connection is held to it. */
        private fun isStray(connection: Channel, head: HttpResponse): Boolean {
            val stated = head.headers().getAll(REQUEST_ID_HEADER)
            val own = stated.isNotEmpty() && stated.all { it == request.identity.id }
            val statedBefore = connection.attr(STATES_REQUESTS)
            if (own) statedBefore.set(true)
            return !own && statedBefore.get() == true
        }

        private fun onResponseHead(head: HttpResponse) {
            status = head.status().code()
            keepAlive = HttpUtil.isKeepAlive(head)
            listener.onFirstByte()
            if (request.idempotent && head.status().isOverload()) {
                refusedStatus = status
            } else {
                delivered = true
                request.sink.head(head)
            }
        }

        private fun onResumedHead(context: ChannelHandlerContext, stream: ResumableStream, head: HttpResponse) {
            if (head.status() != HttpResponseStatus.PARTIAL_CONTENT) {
                disconnect()
                end(stream.firstBreak ?: AttemptResult.Broken("the stream is gone", delivered, atMs = clock()))
                return
            }
            listener.onResumed(stream.offset)
            stream.onResumed()
            idleTimeout.start(context.channel(), request.pool.silenceLimitMs)
            if (!delivered) {
                head.status = HttpResponseStatus.OK
                head.headers().remove(HttpHeaderNames.CONTENT_RANGE)
                onResponseHead(head)
            }
        }

        private fun onContent(context: ChannelHandlerContext, content: HttpContent) {
            if (content.decoderResult().isFailure) {
                onBroken("unreadable answer")
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
            val reusable = keepAlive && context.channel().isActive
            if (reusable) connections.release(context.channel(), endpoint, clock()) else context.close()
            val refusal = refusedStatus
            if (refusal == null) {
                request.sink.end()
            }
            end(if (refusal == null) AttemptResult.Done(status) else AttemptResult.Refused(refusal))
        }
    }
}

private fun HttpResponseStatus.isOverload(): Boolean =
    this == HttpResponseStatus.TOO_MANY_REQUESTS || this == HttpResponseStatus.SERVICE_UNAVAILABLE
