package corneltrack.router.callers

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

private const val DEFAULT_MAXIMUM_HEAD_BYTES = 16_384
private const val DEFAULT_HEAD_TIMEOUT_MS = 10_000L
private const val BODY_TIMEOUT_MS = 30_000L

/** How long the write buffer may stay full, because the caller does not read its response, in ms. */
private const val WRITE_TIMEOUT_MS = 60_000L

/** A request of a caller with its complete body. */
internal class CallerRequest(val head: HttpRequest, val body: ByteArray)

/** Handles a complete request, whose response goes to the sink. Returns a function that cancels the request. */
internal typealias CallerRequestHandler = (request: CallerRequest, loop: EventLoop, sink: ResponseSink) -> (() -> Unit)

/**
 * Limits what a caller may send on one connection.
 *
 * @property headBytes the maximum size of a request head, in bytes.
 * @property bodyBytes the maximum size of a request body, in bytes.
 * @property headTimeoutMs the maximum time from the first byte of a head to its end, in ms.
 * @property idleTimeoutMs the maximum time without a request, in ms; null for no limit.
 */
internal data class ConnectionLimits(
    val headBytes: Int = DEFAULT_MAXIMUM_HEAD_BYTES,
    val bodyBytes: Int,
    val headTimeoutMs: Long = DEFAULT_HEAD_TIMEOUT_MS,
    val idleTimeoutMs: Long? = null,
)

/**
 * Reads one caller's requests one after the other and writes their responses.
 *
 * A pipelined request, which arrives before the previous response has ended, waits until it has. A request for whose
 * body there is no memory is refused at its head; the body is then read and dropped, since a caller that is still
 * sending when the connection closes may not see the refusal.
 *
 * @param connections all open connections, which also say whether the process is draining.
 */
internal class CallerConnection(
    private val limits: ConnectionLimits,
    private val connections: CallerConnections,
    private val handle: CallerRequestHandler,
) : ChannelInboundHandlerAdapter() {
    /** The maximum size of a request head, in bytes. */
    val maximumHeadBytes: Int get() = limits.headBytes

    /** Whether no request is being read, handled or waiting. */
    val idle: Boolean get() = head == null && response == null && pipelined.isEmpty()
    private var context: ChannelHandlerContext? = null
    private var head: HttpRequest? = null
    private var body: RequestBody? = null
    private var response: CallerResponse? = null
    private var closing = false

    /** The timeout of reading a body or of waiting until the caller reads its response. */
    private var timer: ScheduledFuture<*>? = null
    private val idleTimer = IdleTimer(limits.idleTimeoutMs, { idle }) { context?.close() }
    private val assembler = RequestAssembler()

    /** Messages decoded before the current response has ended. */
    private val pipelined = ArrayDeque<Any>()

    override fun channelActive(context: ChannelHandlerContext) {
        this.context = context
        if (connections.onOpened(this)) awaitRequest(context) else context.close()
    }

    /** Closes the connection unless it has a request; may be called on any thread. */
    fun closeIfIdle() {
        val current = context ?: return
        current.executor().execute { if (idle) current.close() }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (response != null) {
            pipelined.addLast(message)
            context.channel().config().isAutoRead = false
            return
        }
        try {
            if (!closing && message is HttpRequest) assembler.onHead(context, message)
            if (!closing && message is HttpContent && head != null) assembler.onContent(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Limits the time for the rest of a body; most requests arrive whole and need no timer. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (head != null && timer == null) {
            timer = context.after(BODY_TIMEOUT_MS) {
                if (body == null) context.close() else refuseAndClose(context, BODY_TIMEOUT)
            }
        }
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        connections.onClosed(this)
        timer?.cancel(false)
        idleTimer.cancel()
        response?.onCallerDisconnected()
        assembler.dropBody()
        pipelined.forEach(ReferenceCountUtil::release)
        pipelined.clear()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        timer?.cancel(false)
        val writable = context.channel().isWritable
        if (!writable) {
            timer = context.after(WRITE_TIMEOUT_MS) { context.close() }
        }
        response?.onWritable?.invoke(writable)
    }

    @Deprecated("Netty keeps this method for inbound handlers")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    /** Assembles a request from its head and the chunks of its body. */
    private inner class RequestAssembler {
        fun onHead(context: ChannelHandlerContext, request: HttpRequest) {
            val failure = request.decoderResult().cause()
            if (failure != null) {
                refuseAndClose(context, unreadable(failure))
                return
            }
            timer?.cancel(false)
            timer = null
            head = request
            val received = RequestBody(request, limits.bodyBytes, connections.bodyMemory.newPart())
            body = received
            val reserved = received.reserve()
            when {
                reserved && HttpUtil.is100ContinueExpected(request) ->
                    context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
                !reserved -> refuseAndDrop(context, request)
            }
        }

        fun onContent(context: ChannelHandlerContext, content: HttpContent) {
            val received = body
            when {
                received == null -> onDropped(context, content)
                content.decoderResult().isFailure -> refuseAndClose(context, UNREADABLE)
                !received.add(content.content()) ->
                    if (received.tooLarge) {
                        refuseAndClose(context, BODY_TOO_LARGE)
                    } else {
                        refuseAndDrop(context, head!!)
                        onDropped(context, content)
                    }
                content is LastHttpContent -> onComplete(context, received)
            }
        }

        fun dropBody() {
            body?.release()
            body = null
        }

        /**
         * Refuses the request at once; what is left of its body is read and dropped. A caller that waits for the
         * permission to send its body may never send it, so that its connection closes.
         */
        private fun refuseAndDrop(context: ChannelHandlerContext, request: HttpRequest) {
            dropBody()
            connections.onBodyRefused(request)
            if (HttpUtil.is100ContinueExpected(request)) {
                refuseAndClose(context, NO_BODY_MEMORY)
            } else {
                CallerResponse(context, keepAlive = { true }) { }.refuse(NO_BODY_MEMORY)
            }
        }

        /** Goes on after the last [content] of a dropped body; the request has had its answer, so no other follows. */
        private fun onDropped(context: ChannelHandlerContext, content: HttpContent) {
            val failed = content.decoderResult().isFailure
            if (!failed && content !is LastHttpContent) return
            val keepAlive = !failed && head?.let(HttpUtil::isKeepAlive) == true && connections.mayStayOpen
            head = null
            if (keepAlive) awaitRequest(context) else context.close()
        }

        private fun onComplete(context: ChannelHandlerContext, received: RequestBody) {
            timer?.cancel(false)
            timer = null
            val request = CallerRequest(head!!, received.bytes())
            head = null
            body = null
            val keepAlive = HttpUtil.isKeepAlive(request.head)
            connections.onRequest()
            val onWritten = {
                connections.onWritten()
                received.release()
            }
            val current = CallerResponse(context, { keepAlive && connections.mayStayOpen }, onWritten) {
                onResponseEnded(context)
            }
            response = current
            val cancel = handle(request, context.channel().eventLoop() as EventLoop, current)
            current.onDisconnect = cancel
        }
    }

    private fun onResponseEnded(context: ChannelHandlerContext) {
        response = null
        while (response == null && pipelined.isNotEmpty()) {
            channelRead(context, pipelined.removeFirst())
        }
        if (response == null) {
            context.channel().config().isAutoRead = true
            if (head == null) awaitRequest(context)
        }
    }

    private fun awaitRequest(context: ChannelHandlerContext) {
        timer?.cancel(false)
        timer = null
        idleTimer.restart(context.executor())
    }

    private fun refuseAndClose(context: ChannelHandlerContext, refusal: Refusal) {
        timer?.cancel(false)
        closing = true
        head = null
        assembler.dropBody()
        CallerResponse(context, keepAlive = { false }) { }.refuse(refusal)
    }
}

private fun unreadable(failure: Throwable): Refusal =
    if (failure is TooLongHttpHeaderException || failure is TooLongHttpLineException) HEAD_TOO_LARGE else UNREADABLE

private fun ChannelHandlerContext.after(delayMs: Long, action: () -> Unit): ScheduledFuture<*> =
    executor().schedule(action, delayMs, TimeUnit.MILLISECONDS)

private val UNREADABLE =
    Refusal(HttpResponseStatus.BAD_REQUEST, "bad_request", "The request is not valid HTTP.")
private val HEAD_TOO_LARGE =
    Refusal(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large", "The request head is too large.")
private val BODY_TOO_LARGE =
    Refusal(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large", "The request body is too large.")

/** Refuses a request whose body would take more memory than there is for the bodies of all callers. */
internal val NO_BODY_MEMORY: Refusal = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "body_memory",
    "The bodies of other requests take the memory of this router.",
    retryAfterMs = DEFAULT_RETRY_AFTER_MS,
)
private val BODY_TIMEOUT =
    Refusal(HttpResponseStatus.REQUEST_TIMEOUT, "body_timeout", "The request body did not arrive in time.")
