package corneltrack.router.relay

import corneltrack.policy.limits.EndpointSignal
import corneltrack.policy.limits.RelayAttemptResult
import corneltrack.policy.limits.stallLimitMs
import corneltrack.router.relay.streams.onFirstEvent
import corneltrack.world.routing.ResponseMode
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

private const val FIRST_SUCCESS = 200
private const val FIRST_REDIRECT = 300

/** How much of a body that is not delivered, such as that of a refusal, is read before the connection is closed. */
private const val MAXIMUM_DISCARDED_BYTES = 64 * 1024

/** Receives the result of an attempt: one call of [onCompleted] or [onFailed]. */
internal interface AttemptOwner {
    /** Called when the response of [attempt] is complete and can be delivered to the caller. */
    fun onCompleted(attempt: EndpointAttempt)

    /** Called when the attempt failed. */
    fun onFailed(attempt: EndpointAttempt, result: RelayAttemptResult)

    /** Whether attempts, time and retry budget are left for another attempt. */
    val mayRetry: Boolean
}

/** Sends a request to one endpoint and receives its response. Confined to the event loop. */
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
    private val timing = EventTiming(call, target, context.transfers)
    private val evidence = AttemptEvidence(call, target, context.versions)
    private var delivery: ResponseDelivery? = null
    private var notRun = false
    private var pauseStated = false
    private var reused = false
    private var closed = false

    /** The next check for a stall, which holds the request with its body until it runs or is cancelled. */
    private var stallCheck: ScheduledFuture<*>? = null

    /** Whether the request was handed to a connection. */
    var sent: Boolean = false
        private set

    /** Whether the endpoint went on after the first event, so that this request is not what crashes it. */
    val answering: Boolean get() = timing.events > 1

    /** The status code of the response, or null before its head has arrived. */
    var status: Int? = null
        private set

    /** Sends the request; watches for stalls where another endpoint could resume the stream. */
    fun start() {
        evidence.onBegin(context.nowMs())
        exchange.start(call.route.maximumIdleMs, context.nowMs())
        if (call.route.resumable && call.route.responseMode == ResponseMode.EVENT_STREAM) checkStallAfter(stallLimitMs)
    }

    private fun checkStallAfter(delayMs: Long) {
        stallCheck = context.loop.schedule(::checkStall, delayMs, TimeUnit.MILLISECONDS)
    }

    /**
     * Abandons a stalled endpoint if another attempt may follow. A caller that does not read delays the events itself,
     * so that the endpoint is not to blame.
     */
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
        val lost = result is RelayAttemptResult.Broken && result.connectionLost
        when {
            signal == null && status == null -> Unit
            lost -> evidence.onLost(context.nowMs())
            else -> evidence.onFailure()
        }
        exchange.cancel()
        context.connections.discard(target.endpoint.id)
        fail(signal, result)
    }

    private fun fail(signal: EndpointSignal?, result: RelayAttemptResult) {
        if (signal != null) context.onHealthSignal(target, signal)
        owner.onFailed(this, result)
    }

    /** Status 421 means that the endpoint has left its address, other refusals that it is full or failing. */
    private fun failNotRun(code: Int) {
        val misdirected = code == HttpResponseStatus.MISDIRECTED_REQUEST.code()
        val signal = if (misdirected) EndpointSignal.UNREACHABLE else failureSignal
        fail(signal, RelayAttemptResult.NotRun(code))
    }

    /** An endpoint that says for how long it wants nothing is not ejected beyond that. */
    private val failureSignal get() = EndpointSignal.FAILED.takeUnless { pauseStated }

    /** Delivers the rest of the complete response to the caller. */
    fun deliver() = delivery?.deliver()

    /** Cancels the exchange if it is still running and removes the request from the endpoint's load. */
    fun close() {
        if (closed) return
        closed = true
        stallCheck?.cancel(false)
        exchange.cancel()
        if (target.engineRequest != null) {
            target.state.engine.onEnd(target.engineRequest)
        } else {
            target.state.service.onEnd()
        }
        delivery?.close()
        evidence.onEnd(context.nowMs())
    }

    /** Records that the time for the response is over; an endpoint that has sent nothing for long has stalled. */
    fun onTimeout() {
        val stallMs = maxOf(stallLimitMs, call.route.objectiveMs)
        if (sent && context.nowMs() - timing.lastProgressMs >= stallMs) evidence.onFailure()
    }

    /** Pauses or resumes reading from the endpoint. */
    fun onWritable(writable: Boolean) = exchange.onWritable(writable)

    private inner class Listener : ExchangeListener {
        private val tinyChunks = TinyChunks()
        private var discardedBytes = 0

        override fun onConnected(reused: Boolean): DefaultFullHttpRequest? {
            val reason = context.ineligibility(target)?.name?.lowercase()
            if (reason != null && !call.finished) fail(null, RelayAttemptResult.NotSent("endpoint $reason"))
            if (reason != null || call.finished) return null
            this@EndpointAttempt.reused = reused
            sent = true
            timing.onSent(context.nowMs())
            evidence.onSent(context.nowMs())
            call.attempts++
            return call.messageTo(target, context)
        }

        override fun onNotSent(failure: ConnectFailure) = fail(
            failure.healthSignal(context.isLate()),
            RelayAttemptResult.NotSent(failure.reason, elsewhere = failure !is ConnectFailure.NoSocket),
        )

        override fun onUnmatched(response: UnmatchedResponse) =
            context.unmatchedResponses.onUnmatched(call, target, response, reused, context.nowMs())

        override fun onHead(response: HttpResponse, metadata: ResponseMetadata) {
            val code = response.status().code()
            val events =
                code in FIRST_SUCCESS until FIRST_REDIRECT && call.route.responseMode == ResponseMode.EVENT_STREAM
            status = code
            metadata.load?.let { target.state.onStatedLoad(it, context.nowMs()) }
            val misdirected = code == HttpResponseStatus.MISDIRECTED_REQUEST.code()
            if (!misdirected && (metadata.authentic || metadata.notRun)) {
                pauseStated = context.onStatement(target, response.status(), metadata)
            }
            notRun = metadata.notRun || misdirected
            when {
                notRun -> Unit
                !metadata.authentic -> onBroken("unsigned answer with status $code", connectionLost = false)
                events -> delivery = EventStreamDelivery(call, response, context.responseMemory) { onEvent() }
                call.responseStarted -> Unit
                else -> delivery = BufferedDelivery(call, response, context.responseMemory)
            }
        }

        private fun onEvent() {
            if (timing.events == 0) context.onFirstEvent(call, target)
            timing.onEvent(context.nowMs())
            evidence.onEvent(context.nowMs())
            if (answering) context.partSuspects.onAnswered(call)
        }

        override fun onContent(data: ByteBuf) {
            val current = delivery ?: return onDiscarded(data.readableBytes())
            val failure = when {
                tinyChunks.onChunk(data.readableBytes(), context.nowMs()) -> "a flood of short pieces"
                else -> current.onContent(data)
            }
            if (failure == null) exchange.onWritable(call.sink.writable) else onBroken(failure, connectionLost = false)
        }

        override fun onEnd() {
            val code = status ?: 0
            val startedHere = delivery != null && call.responseStarted
            when {
                notRun -> failNotRun(code)
                delivery?.mayEnd == false -> onBroken("the stream ended inside an event", connectionLost = true)
                code < FIRST_REDIRECT || startedHere -> onSuccess()
                else -> {
                    val failing = code >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()
                    if (failing) evidence.onFailure() else evidence.onResponse(context.nowMs(), timed = false)
                    val result = RelayAttemptResult.Failed(code, call.responseStarted)
                    fail(if (failing) failureSignal else EndpointSignal.GOOD, result)
                }
            }
        }

        /** A pooled connection may have been closed while idle, so its loss is no health signal. */
        override fun onBroken(reason: String, connectionLost: Boolean) = giveUp(
            if (reused) null else EndpointSignal.FAILED,
            RelayAttemptResult.Broken(reason, call.responseStarted, connectionLost),
        )

        /** Stops reading after [MAXIMUM_DISCARDED_BYTES]; the head alone decides the result of the attempt. */
        private fun onDiscarded(bytes: Int) {
            discardedBytes += bytes
            if (discardedBytes <= MAXIMUM_DISCARDED_BYTES) return
            exchange.cancel()
            onEnd()
        }

        private fun onSuccess() {
            if (call.route.responseMode == ResponseMode.COMPLETE) {
                val elapsedMs = timing.processingMs(context.nowMs())
                target.state.service.onResponse(elapsedMs)
                target.state.service.paced.onResponse(elapsedMs)
            }
            evidence.onResponse(context.nowMs(), timed = true)
            context.onHealthSignal(target, EndpointSignal.GOOD)
            owner.onCompleted(this@EndpointAttempt)
        }
    }
}

private fun RelayContext.onFirstEvent(call: RelayedCall, target: Target) {
    call.streamVersion = target.version.name
    streams.onFirstEvent(call, target.version.name, nowMs())
}

/** Returns the caller's message with the headers that the endpoint of [target] expects. */
private fun RelayedCall.messageTo(target: Target, context: RelayContext): DefaultFullHttpRequest {
    val content = message.body.toByteBuf()
    val sent = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, message.method, message.uri, content)
    val remainingMs = maxOf(1, times.callerDeadlineMs - context.nowMs())
    message.headers.addTo(sent.headers())
    val prefixSource = target.prefixSource?.endpoint?.address
    val metadata = AttemptMetadata(target.endpoint.id.value, workspace?.value, remainingMs, lastEventId, prefixSource)
    context.headerMapping.writeRequest(sent.headers(), metadata)
    if (content.isReadable || sent.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
        sent.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
    }
    return sent
}
