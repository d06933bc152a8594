package corneltrack.router.relay

import corneltrack.policy.limits.EndpointSignal
import corneltrack.policy.limits.RelayAttemptResult
import corneltrack.policy.limits.stallLimitMs
import corneltrack.router.endToEnd
import corneltrack.world.routing.ResponseMode
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.TimeUnit

private const val FIRST_SUCCESS = 200
private const val FIRST_REDIRECT = 300
private const val IDEMPOTENT_MAXIMUM_IDLE_MS = 2_000L

/** Shorter than any idle timeout that an endpoint can state, since a request that is cut off cannot be sent again. */
private const val AT_MOST_ONCE_MAXIMUM_IDLE_MS = 500L

/** The most bytes of a body that reaches nobody, as after a refusal, before the connection is given up. */
private const val MAXIMUM_DISCARDED_BYTES = 64 * 1024

/** Learns what became of an attempt: that it was answered or that it failed, once. */
internal interface AttemptOwner {
    /** The answer of [attempt] is complete and can be delivered to the caller. */
    fun onCompleted(attempt: EndpointAttempt)

    /** The attempt failed. */
    fun onFailed(attempt: EndpointAttempt, result: RelayAttemptResult)

    /** Whether another attempt could follow. */
    val mayRetry: Boolean
}

/** Has one endpoint answer one request. Only used on the event loop. */
internal class EndpointAttempt(
    private val call: RelayedCall,
    val target: Target,
    private val context: RelayContext,
    private val owner: AttemptOwner,
) {
    private val stallLimitMs = stallLimitMs(call.route.pauseLimitMs)
    private val exchange =
        EndpointExchange(
            target.endpoint,
            call.requestId,
            context.connections,
            context.headerMapping,
            context.loop,
            Listener(),
        )
    private val timing = EventTiming(call, target)
    private var delivery: ResponseDelivery? = null
    private var notRun = false
    private var reused = false
    private var closed = false

    /** Whether the request has left. */
    var sent: Boolean = false
        private set

    /** The status of the answer, or null before its head. */
    var status: Int? = null
        private set

    /** Begins. */
    fun start() {
        val maximumIdleMs = if (call.route.idempotent) IDEMPOTENT_MAXIMUM_IDLE_MS else AT_MOST_ONCE_MAXIMUM_IDLE_MS
        exchange.start(maximumIdleMs, context.nowMs())
        if (call.route.resumable && call.route.responseMode == ResponseMode.EVENT_STREAM) checkStallAfter(stallLimitMs)
    }

    private fun checkStallAfter(delayMs: Long) {
        context.loop.schedule(::checkStall, delayMs, TimeUnit.MILLISECONDS)
    }

    /** Gives a silent endpoint up where another one may go on; a caller that does not read holds events up itself. */
    private fun checkStall() {
        if (closed || call.finished) return
        val remainingMs = timing.lastProgressMs + stallLimitMs - context.nowMs()
        when {
            remainingMs > 0 -> checkStallAfter(remainingMs)
            sent && call.sink.writable && owner.mayRetry ->
                giveUp(EndpointSignal.FAILED, RelayAttemptResult.Stalled(call.responseStarted))
            else -> checkStallAfter(stallLimitMs)
        }
    }

    private fun giveUp(signal: EndpointSignal?, result: RelayAttemptResult) {
        exchange.cancel()
        context.connections.discard(target.endpoint.id)
        fail(signal, result)
    }

    private fun fail(signal: EndpointSignal?, result: RelayAttemptResult) {
        if (signal != null) context.onHealthSignal(target, signal)
        owner.onFailed(this, result)
    }

    /** Sends the answer, which is complete, on to the caller. */
    fun deliver() = delivery?.deliver()

    /** Ends the exchange if it still runs and gives back the endpoint's load. */
    fun close() {
        if (closed) return
        closed = true
        exchange.cancel()
        if (target.engineRequest != null) {
            target.state.engine.onEnd(target.engineRequest)
        } else {
            target.state.service.onEnd()
        }
        delivery?.close()
    }

    /** Reads on or pauses, as the caller's connection allows. */
    fun onWritable(writable: Boolean) = exchange.onWritable(writable)

    private inner class Listener : ExchangeListener {
        private var discardedBytes = 0

        override fun onConnected(reused: Boolean): DefaultFullHttpRequest? {
            if (call.finished) return null
            this@EndpointAttempt.reused = reused
            sent = true
            timing.onSent(context.nowMs())
            call.attempts++
            return call.messageTo(target, context)
        }

        override fun onNotSent(reason: String) = fail(EndpointSignal.UNREACHABLE, RelayAttemptResult.NotSent(reason))

        override fun onHead(response: HttpResponse, metadata: ResponseMetadata) {
            val code = response.status().code()
            val events =
                code in FIRST_SUCCESS until FIRST_REDIRECT && call.route.responseMode == ResponseMode.EVENT_STREAM
            status = code
            metadata.activeRequests?.let { target.state.service.onReport(it, context.nowMs()) }
            notRun = metadata.notRun || code == HttpResponseStatus.MISDIRECTED_REQUEST.code()
            when {
                notRun -> Unit
                !metadata.authentic -> onBroken("unsigned answer with status $code")
                events -> delivery = EventStreamDelivery(call, response) { timing.onEvent(context.nowMs()) }
                call.responseStarted -> Unit
                else -> delivery = BufferedDelivery(call, response)
            }
        }

        override fun onContent(data: ByteBuf) {
            val current = delivery
            when {
                current == null -> onDiscarded(data.readableBytes())
                !current.onContent(data) -> onBroken("an event without an end")
                else -> exchange.onWritable(call.sink.writable)
            }
        }

        override fun onEnd() {
            val code = status ?: 0
            val startedHere = delivery != null && call.responseStarted
            when {
                notRun -> onNotRun(code)
                code < FIRST_REDIRECT || startedHere -> onSuccess()
                else -> {
                    val failing = code >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()
                    val result = RelayAttemptResult.Failed(code, call.responseStarted)
                    fail(if (failing) EndpointSignal.FAILED else EndpointSignal.GOOD, result)
                }
            }
        }

        /** A kept connection may have broken with no fault of the endpoint. */
        override fun onBroken(reason: String) =
            giveUp(if (reused) null else EndpointSignal.FAILED, RelayAttemptResult.Broken(reason, call.responseStarted))

        /** What the head said holds, however much follows it. */
        private fun onDiscarded(bytes: Int) {
            discardedBytes += bytes
            if (discardedBytes <= MAXIMUM_DISCARDED_BYTES) return
            exchange.cancel()
            onEnd()
        }

        private fun onSuccess() {
            if (call.route.responseMode == ResponseMode.COMPLETE) {
                target.state.service.onResponse(timing.processingMs(context.nowMs()))
            }
            context.onHealthSignal(target, EndpointSignal.GOOD)
            owner.onCompleted(this@EndpointAttempt)
        }

        /** A refusal tells of an endpoint that is full or failing, 421 of one that is no longer there. */
        private fun onNotRun(code: Int) {
            val misdirected = code == HttpResponseStatus.MISDIRECTED_REQUEST.code()
            fail(
                if (misdirected) EndpointSignal.UNREACHABLE else EndpointSignal.FAILED,
                RelayAttemptResult.NotRun(code),
            )
        }
    }
}

/** Returns the message for the endpoint of [target]: what the caller sent, in the endpoint's terms. */
private fun RelayedCall.messageTo(target: Target, context: RelayContext): DefaultFullHttpRequest {
    val content = Unpooled.wrappedBuffer(message.body)
    val sent = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, message.method, message.uri, content)
    val remainingMs = maxOf(1, times.callerDeadlineMs - context.nowMs())
    sent.headers().set(message.headers.endToEnd())
    val metadata = AttemptMetadata(target.endpoint.id.value, workspace?.value, remainingMs, lastEventId)
    context.headerMapping.writeRequest(sent.headers(), metadata)
    if (content.isReadable || message.headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
        sent.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
    }
    return sent
}
