package corneltrack.router.callers

import corneltrack.wire.DecoderGate
import corneltrack.wire.maximumHeadLines
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
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

/** Up to so many undecoded bytes the connection is still read, so that the disconnect of its caller is seen. */
private const val UNDECODED_BYTES_READ = 512

/**
 * A request of a caller with its complete body.
 *
 * @property head the decoded head, which must not be held once the request has been handled; [keep] what is needed.
 */
internal class CallerRequest(val head: HttpRequest, val body: BodyContent) {
    /** The memory of what is kept of the head while the request is in progress, in bytes. */
    var keptHeadBytes: Long = 0
        private set

    /** Returns [headers] in the form in which they are held while the request is in progress, and accounts for them. */
    fun keep(headers: HttpHeaders): CompactHeaders {
        val kept = CompactHeaders(headers)
        keptHeadBytes = kept.sizeBytes.toLong() + head.uri().length
        return kept
    }
}

/** Handles a complete request, whose response goes to the sink. Returns a function that cancels the request. */
internal typealias CallerRequestHandler = (request: CallerRequest, loop: EventLoop, sink: ResponseSink) -> (() -> Unit)

/**
 * Limits what a caller may send on one connection.
 *
 * @property headBytes the maximum size of a request head, in bytes.
 * @property bodyBytes the maximum size of a request body, in bytes.
 * @property headTimeoutMs the maximum time from the first byte of a head to its end, in ms.
 * @property headLines the maximum number of lines in a head; by default none that fits into [headBytes] has more.
 * @property idleTimeoutMs the maximum time without a request, in ms; null for no limit.
 */
internal data class ConnectionLimits(
    val headBytes: Int = DEFAULT_MAXIMUM_HEAD_BYTES,
    val bodyBytes: Int,
    val headTimeoutMs: Long = DEFAULT_HEAD_TIMEOUT_MS,
    val idleTimeoutMs: Long? = null,
    val headLines: Int = maximumHeadLines(headBytes),
)

/**
 * Reads one caller's requests one after the other and writes their responses.
 *
 * A pipelined request, which arrives before the previous response has ended, stays undecoded until it has and until the
 * caller has read what was written. A request for whose
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
    /** Whether no request is being read, handled or waiting, and no response is being written. */
    val idle: Boolean get() = head == null && response == null && undecodedBytes == 0 && output.pendingBytes == 0L
    private var context: ChannelHandlerContext? = null
    private var head: HttpRequest? = null
    private var body: RequestBody? = null
    private var response: CallerResponse? = null
    private var closing = false

    /** Whether the connection closes after its current response, as nothing is accounted for it any more. */
    private var unaccounted = false
    private val gate = RequestGate()

    /** The codec of this connection. */
    val codec: StrictServerCodec = StrictServerCodec(limits.headBytes, limits.headLines, gate)
    private val part = connections.memory.newPart(gate)

    /** The bytes of requests that wait until they may be decoded. */
    private val undecodedBytes: Int get() = if (gate.open) 0 else codec.undecodedBytes
    private val output by lazy(LazyThreadSafetyMode.NONE) {
        CallerOutput(context!!, connections.memory, part) { codec.undecodedCapacity }
    }

    /** The timeout of reading a head or a body. */
    private var timer: ScheduledFuture<*>? = null
    private val idleTimer = IdleTimer(limits.idleTimeoutMs, { idle }) { context?.close() }
    private val assembler = RequestAssembler()

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        if (connections.onOpened(this)) assembler.awaitRequest(context) else context.close()
    }

    /** Closes the connection unless it has a request; may be called on any thread. */
    fun closeIfIdle() {
        val current = context ?: return
        current.executor().execute { if (idle) current.close() }
    }

    /** Resumes the response if the caller has read enough, or closes the connection if it reads too slowly. */
    fun checkReader(nowMs: Long) {
        val current = context ?: return
        if (!current.executor().inEventLoop()) return current.executor().execute { checkReader(nowMs) }
        when (output.check(nowMs)) {
            BacklogStep.WAIT -> Unit
            BacklogStep.RESUME -> response?.onWritable?.invoke(true)
            BacklogStep.CUT -> gate.cut(ShedReason.SLOW_READER)
        }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (!closing && message is HttpRequest) assembler.onHead(context, message)
            if (!closing && message is HttpContent && head != null) assembler.onContent(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Limits the time for the rest of a head or body; most requests arrive whole and need no timer. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (codec.undecodedBytes > 0) output.account()
        if (timer == null && !closing && response == null) {
            timer = when {
                head != null -> context.after(BODY_TIMEOUT_MS) {
                    if (body == null) context.close() else refuseAndClose(context, BODY_TIMEOUT)
                }
                codec.inHead -> context.after(limits.headTimeoutMs) { gate.onHeadTimeout(context) }
                else -> null
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
        part.release()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        output.account()
        if (context.channel().isWritable && output.writable) response?.onWritable?.invoke(true)
        gate.resume()
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
                val refusal = unreadable(failure)
                if (refusal === HEAD_TOO_LARGE) connections.shed.count(ShedReason.HEAD_TOO_LARGE)
                refuseAndClose(context, refusal)
                return
            }
            timer?.cancel(false)
            timer = null
            head = request
            val received = RequestBody(request, limits.bodyBytes, connections.bodyMemory.newPart())
            body = received
            val reserved = received.reserve()
            connections.memory.onBodiesGrown()
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
                CallerResponse(context, output, keepAlive = { true }, gate::resume) { }.refuse(NO_BODY_MEMORY)
            }
        }

        /** Goes on after the last [content] of a dropped body; the request has had its answer, so no other follows. */
        private fun onDropped(context: ChannelHandlerContext, content: HttpContent) {
            val failed = content.decoderResult().isFailure
            if (!failed && content !is LastHttpContent) return
            val keepAlive = !failed && head?.let(HttpUtil::isKeepAlive) == true && connections.mayStayOpen
            head = null
            part.hold(HeldKind.HEADS, 0)
            if (keepAlive) awaitRequest(context) else context.close()
        }

        private fun onComplete(context: ChannelHandlerContext, received: RequestBody) {
            timer?.cancel(false)
            timer = null
            val request = CallerRequest(head!!, received.content())
            head = null
            body = null
            val keepAlive = HttpUtil.isKeepAlive(request.head)
            connections.onRequest()
            val onWritten = {
                connections.onWritten()
                received.release()
                output.account()
                if (idle) idleTimer.restart(context.executor())
                gate.resume()
            }
            val mayStayOpen = { keepAlive && !unaccounted && connections.mayStayOpen }
            val current = CallerResponse(context, output, mayStayOpen, onWritten) { onResponseEnded(context) }
            response = current
            val cancel = handle(request, context.channel().eventLoop() as EventLoop, current)
            current.onDisconnect = cancel
            part.hold(HeldKind.HEADS, 0)
            if (response === current) part.hold(HeldKind.IN_PROGRESS, request.keptHeadBytes)
        }

        fun awaitRequest(context: ChannelHandlerContext) {
            timer?.cancel(false)
            timer = null
            idleTimer.restart(context.executor())
        }

        private fun onResponseEnded(context: ChannelHandlerContext) {
            response = null
            part.hold(HeldKind.IN_PROGRESS, 0)
            if (head == null) awaitRequest(context)
            gate.resume()
        }
    }

    private fun refuseAndClose(context: ChannelHandlerContext, refusal: Refusal) {
        timer?.cancel(false)
        closing = true
        head = null
        assembler.dropBody()
        CallerResponse(context, output, keepAlive = { false }) { }.refuse(refusal)
    }

    /** Decides when requests are decoded, and ends the connection where it holds too much. */
    private inner class RequestGate : DecoderGate, MemoryHolder {
        private var resuming = false

        override val open: Boolean get() = response == null && !closing && output.mayAnswerMore

        override val slow: Boolean get() = output.slow

        override fun onHeldBack(bytes: Int) {
            if (bytes > UNDECODED_BYTES_READ) context?.channel()?.config()?.isAutoRead = false
        }

        override fun onHeadCost(costBytes: Int) = part.hold(HeldKind.HEADS, costBytes.toLong())

        /** Goes on to decode what has been received, in a task of its own, since this may be called while decoding. */
        fun resume() {
            val current = context
            if (current == null || resuming || !open) return
            val config = current.channel().config()
            if (codec.undecodedBytes == 0 && config.isAutoRead) return
            resuming = true
            current.executor().execute {
                resuming = false
                if (open && current.channel().isActive) {
                    codec.resume(current.pipeline().context(codec))
                    if (open) config.isAutoRead = true
                }
            }
        }

        override fun giveWay(kind: HeldKind) {
            val current = context ?: return
            if (!current.executor().inEventLoop()) return current.executor().execute { giveWay(kind) }
            if (kind == HeldKind.HEADS) refuseHead(current) else cut(ShedReason.WAITING_MEMORY)
        }

        /** Refuses the request that is being read; one that has been handled meanwhile is served. */
        private fun refuseHead(current: ChannelHandlerContext) {
            unaccounted = true
            if (response != null || closing) return
            connections.shed.count(ShedReason.HEAD_MEMORY)
            refuseAndClose(current, NO_HEAD_MEMORY)
        }

        /** Closes the connection before the end of its response, which cancels the request at its endpoint. */
        fun cut(reason: ShedReason) {
            connections.shed.count(reason)
            context?.close()
        }

        fun onHeadTimeout(context: ChannelHandlerContext) {
            timer = null
            if (response != null || head != null || !codec.inHead) return
            connections.shed.count(ShedReason.HEAD_TIMEOUT)
            refuseAndClose(context, HEAD_TIMEOUT)
        }
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

/** Refuses a request whose head holds the most while the heads of all callers take more memory than there is. */
internal val NO_HEAD_MEMORY: Refusal = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "head_memory",
    "The heads of requests take the memory of this router.",
    retryAfterMs = DEFAULT_RETRY_AFTER_MS,
)
private val HEAD_TIMEOUT =
    Refusal(HttpResponseStatus.REQUEST_TIMEOUT, "head_timeout", "The request head did not arrive in time.")
private val BODY_TIMEOUT =
    Refusal(HttpResponseStatus.REQUEST_TIMEOUT, "body_timeout", "The request body did not arrive in time.")
