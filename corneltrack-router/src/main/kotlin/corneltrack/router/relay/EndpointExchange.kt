package corneltrack.router.relay

import corneltrack.router.EndpointConnections
import corneltrack.router.monotonicClock
import corneltrack.wire.containsStatusLine
import corneltrack.wire.responseDecoder
import corneltrack.world.Endpoint
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/** Receives the events of one exchange on the event loop; [onNotSent], [onEnd] or [onBroken] is the last. */
internal interface ExchangeListener {
    /**
     * Called when a connection is ready. Returns the message to send, or null to cancel the exchange.
     *
     * @param reused whether the connection comes from the pool.
     */
    fun onConnected(reused: Boolean): DefaultFullHttpRequest?

    /** Called when no connection could be established; the request was not sent. */
    fun onNotSent(failure: ConnectFailure)

    /** Called with a response that does not belong to the request, before it is skipped or fails the exchange. */
    fun onUnmatched(response: UnmatchedResponse)

    /** Called with the head of the response. */
    fun onHead(response: HttpResponse, metadata: ResponseMetadata)

    /** Called with a part of the body, which is released after the call. */
    fun onContent(data: ByteBuf)

    /** Called when the response is complete. */
    fun onEnd()

    /** Called when the connection was lost, or what arrived is not a valid response and the connection is closed. */
    fun onBroken(reason: String, connectionLost: Boolean)
}

/**
 * Sends one request to one endpoint and receives the response.
 *
 * Only a response that states the request's id is taken for its response. Any other one of an endpoint is skipped: it
 * may be a late second response to an earlier request on the same connection.
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
     * Sends the request on a pooled connection, or connects first.
     *
     * @param maximumIdleMs how long a pooled connection may have been idle; the endpoint may have closed it unnoticed.
     */
    fun start(maximumIdleMs: Long, nowMs: Long) {
        val pooled = requestId?.let { acquire(it, maximumIdleMs, nowMs) }
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
                    listener.onNotSent(connectFailure(connecting.cause()))
                }
            }
        }
    }

    /** Returns a pooled connection, but none that has carried a request with this id: a late response may come. */
    private fun acquire(requestId: String, maximumIdleMs: Long, nowMs: Long): Channel? {
        val pooled = connections.acquire(loop, endpoint, nowMs, maximumIdleMs)
        val repeated = pooled != null && requestId in pooled.carriedRequests
        if (repeated) pooled?.close()
        return pooled?.takeUnless { repeated }
    }

    /** Closes the connection; the listener is not called again. */
    fun cancel() {
        finished = true
        channel?.close()
    }

    /** Pauses or resumes reading from the endpoint. */
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
        requestId?.let(connected.carriedRequests::add)
        connected.responseDecoder.expect(message.method()) { ownerOf(it) == ResponseOwner.THIS_REQUEST }
        val reusable = requestId != null && message.method() != HttpMethod.HEAD
        connected.pipeline().addLast(ResponseHandler(reused, reusable))
        connected.writeAndFlush(message).addListener { written ->
            if (!written.isSuccess) {
                loop.execute { failOn(written.cause(), "sending failed: ${written.cause().message}") }
            }
        }
    }

    private fun ownerOf(head: HttpResponse) = responseOwner(headerMapping.readResponse(head), requestId)

    private fun fail(reason: String, connectionLost: Boolean = false) {
        if (finished) return
        cancel()
        listener.onBroken(reason, connectionLost)
    }

    private fun failOn(cause: Throwable, reason: String) =
        fail(reason, connectionLost = cause is IOException || cause is PrematureChannelClosureException)

    /**
     * Handles the response to the request.
     *
     * @param reused whether the connection has carried other requests, to which a late response may come.
     * @param reusable whether the connection may carry another request, as long as no stray response has arrived. A
     *   late second response to a HEAD request has a length but no body, so that the next response could not be found.
     */
    private inner class ResponseHandler(
        private val reused: Boolean,
        private var reusable: Boolean,
    ) : ChannelInboundHandlerAdapter() {
        private val unwanted = UnwantedResponses()
        private var keepAlive = false
        private var stray = false
        private var headSeen = false

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            try {
                if (!finished && message is HttpResponse) onHead(message)
                if (!finished && message is HttpContent) onContent(context, message)
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) = fail("connection closed", connectionLost = true)

        @Deprecated("Netty keeps this method for inbound handlers")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
            failOn(cause, cause.message ?: cause.javaClass.simpleName)

        private fun onHead(head: HttpResponse) {
            val status = head.status()
            when {
                head.decoderResult().isFailure -> failOn(head.decoderResult().cause(), "unreadable answer")
                head.containsStatusLine -> fail("unreadable answer")
                status == HttpResponseStatus.SWITCHING_PROTOCOLS -> fail("unrequested change of protocol")
                status.codeClass() == HttpStatusClass.INFORMATIONAL -> unwanted.onInterimResponse()?.let(::fail)
                else -> onFinalHead(head)
            }
        }

        private fun onFinalHead(head: HttpResponse) {
            val metadata = headerMapping.readResponse(head)
            val owner = responseOwner(metadata, requestId)
            stray = owner != ResponseOwner.THIS_REQUEST
            if (stray) {
                reusable = false
                listener.onUnmatched(UnmatchedResponse(head.status().code(), owner, metadata))
                whyNothingFollows(head, owner)?.let(::fail)
            } else {
                onOwnHead(head, metadata)
            }
        }

        /** Returns why the response to the request can't follow the stray one that begins with [head], or null. */
        private fun whyNothingFollows(head: HttpResponse, owner: ResponseOwner): String? = when {
            owner == ResponseOwner.NO_ENDPOINT -> "unsigned answer with status ${head.status().code()}"
            owner == ResponseOwner.UNSTATED && !reused -> "an answer to an unknown request"
            head.endsWithConnection() -> "an answer to another request that ends with its connection"
            else -> unwanted.onStrayResponse()
        }

        private fun onOwnHead(head: HttpResponse, metadata: ResponseMetadata) {
            headSeen = true
            keepAlive = reusable && HttpUtil.isKeepAlive(head) && !metadata.leaving
            if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
                fail("unrequested content encoding")
            } else {
                listener.onHead(head, metadata)
            }
        }

        private fun onContent(context: ChannelHandlerContext, content: HttpContent) {
            if (content.decoderResult().isFailure) {
                failOn(content.decoderResult().cause(), "unreadable answer")
                return
            }
            if (stray) unwanted.onStrayContent(content.content().readableBytes())?.let(::fail)
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

/** Whether the connection ends with this response, since it says so or its body has neither a length nor chunks. */
private fun HttpResponse.endsWithConnection(): Boolean {
    val bodiless = status() == HttpResponseStatus.NO_CONTENT || status() == HttpResponseStatus.NOT_MODIFIED
    val framed = bodiless || HttpUtil.isContentLengthSet(this) || HttpUtil.isTransferEncodingChunked(this)
    return !framed || !HttpUtil.isKeepAlive(this)
}
