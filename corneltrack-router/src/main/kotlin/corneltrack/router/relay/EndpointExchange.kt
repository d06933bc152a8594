package corneltrack.router.relay

import corneltrack.router.EndpointConnections
import corneltrack.router.monotonicClock
import corneltrack.world.Endpoint
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

private const val MAXIMUM_STRAY_RESPONSES = 3
private const val MAXIMUM_INTERIM_RESPONSES = 3

/** The most bytes of answers to other requests before the connection is given up. */
private const val MAXIMUM_STRAY_BYTES = 1024 * 1024

/** Receives what becomes of one exchange, on the event loop. Nothing follows [onEnd] or [onBroken]. */
internal interface ExchangeListener {
    /** The request is about to leave on a connection. Returns the message, or null where it is no longer wanted. */
    fun onConnected(reused: Boolean): DefaultFullHttpRequest?

    /** No connection could be made: the request did not leave. */
    fun onNotSent(reason: String)

    /** The head of the answer is there. */
    fun onHead(response: HttpResponse, metadata: ResponseMetadata)

    /** A piece of the body is there; it is released after the call. */
    fun onContent(data: ByteBuf)

    /** The answer is complete. */
    fun onEnd()

    /** The connection broke, or what came is no answer. */
    fun onBroken(reason: String)
}

/**
 * Exchanges one request for one answer with one endpoint.
 *
 * An answer that names another request is passed over: it came late for an earlier one.
 *
 */
internal class EndpointExchange(
    private val endpoint: Endpoint,
    private val requestId: String?,
    private val connections: EndpointConnections,
    private val headerMapping: HeaderMapping,
    private val loop: EventLoop,
    private val listener: ExchangeListener,
) {
    private var channel: Channel? = null
    private var finished = false

    /**
     * Begins.
     *
     * @param maximumIdleMs how long a kept connection may have been idle to be used; it may have gone stale unnoticed.
     */
    fun start(maximumIdleMs: Long, nowMs: Long) {
        val pooled = connections.acquire(loop, endpoint, nowMs, maximumIdleMs)
        if (pooled != null) {
            send(pooled, reused = true)
            return
        }
        val connecting = connections.connect(loop, endpoint, nowMs)
        connecting.addListener {
            when {
                finished -> connecting.channel().close()
                connecting.isSuccess -> send(connecting.channel(), reused = false)
                else -> {
                    finished = true
                    listener.onNotSent("connect: ${connecting.cause().message}")
                }
            }
        }
    }

    /** Ends the exchange; the endpoint sees its connection closed. Nothing follows. */
    fun cancel() {
        finished = true
        channel?.close()
    }

    /** Reads on or pauses. */
    fun onWritable(writable: Boolean) {
        if (!finished) channel?.config()?.isAutoRead = writable
    }

    private fun send(connected: Channel, reused: Boolean) {
        channel = connected
        val message = listener.onConnected(reused)
        if (message == null) {
            finished = true
            connected.close()
            return
        }
        connected.pipeline().addLast(ResponseHandler())
        connected.writeAndFlush(message)
    }

    private fun fail(reason: String) {
        if (finished) return
        cancel()
        listener.onBroken(reason)
    }

    private inner class ResponseHandler : ChannelInboundHandlerAdapter() {
        private var keepAlive = false
        private var stray = false
        private var strayResponses = 0
        private var strayBytes = 0
        private var interimResponses = 0
        private var headSeen = false

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            try {
                if (!finished && message is HttpResponse) onHead(message)
                if (!finished && message is HttpContent) onContent(context, message)
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) = fail("connection closed")

        @Deprecated("Netty keeps this method for inbound handlers")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
            fail(cause.message ?: cause.javaClass.simpleName)

        private fun onHead(head: HttpResponse) {
            if (head.decoderResult().isFailure) return fail("unreadable answer")
            if (head.status().code() == HttpResponseStatus.CONTINUE.code()) return onInterimResponse()
            val metadata = headerMapping.readResponse(head)
            stray = metadata.requestId != null && requestId != null && metadata.requestId != requestId
            if (stray) onStrayResponse() else onMatchingHead(head, metadata)
        }

        private fun onInterimResponse() {
            if (++interimResponses > MAXIMUM_INTERIM_RESPONSES) fail("interim answers without end")
        }

        private fun onStrayContent(bytes: Int) {
            strayBytes += bytes
            if (strayBytes > MAXIMUM_STRAY_BYTES) fail("an answer to another request without end")
        }

        private fun onStrayResponse() {
            if (++strayResponses > MAXIMUM_STRAY_RESPONSES) fail("answers to other requests")
        }

        private fun onMatchingHead(head: HttpResponse, metadata: ResponseMetadata) {
            headSeen = true
            keepAlive = HttpUtil.isKeepAlive(head)
            if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
                fail("unrequested content encoding")
            } else {
                listener.onHead(head, metadata)
            }
        }

        private fun onContent(context: ChannelHandlerContext, content: HttpContent) {
            if (content.decoderResult().isFailure) {
                fail("unreadable answer")
                return
            }
            if (stray) onStrayContent(content.content().readableBytes())
            if (stray || !headSeen) return
            if (content.content().isReadable) listener.onContent(content.content())
            if (!finished && content is LastHttpContent) onLast(context)
        }

        private fun onLast(context: ChannelHandlerContext) {
            finished = true
            channel = null
            context.pipeline().remove(this)
            val current = context.channel()
            listener.onEnd()
            if (keepAlive && current.isActive) {
                connections.release(current, endpoint, monotonicClock())
            } else {
                current.close()
            }
        }
    }
}
