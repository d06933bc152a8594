package corneltrack.router.relay

import corneltrack.policy.limits.EndpointSign
import corneltrack.policy.limits.RelayEnd
import corneltrack.policy.limits.RelayStep
import corneltrack.policy.limits.RelayedRequest
import corneltrack.policy.limits.decideRelayStep
import corneltrack.router.callers.Outcome
import corneltrack.router.callers.Refusal
import corneltrack.router.endToEnd
import corneltrack.world.RegionId
import corneltrack.world.routing.AnswerForm
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

private const val BUFFER_LIMIT_BYTES = 1024 * 1024
private const val FIRST_SUCCESS = 200
private const val FIRST_REDIRECT = 300
private const val RETRY_AFTER_MS = 300L
private const val REPEATABLE_REUSE_MS = 2_000L

/** Shorter than any idle timeout that an endpoint can state, since a request that is cut off cannot be sent again. */
private const val AT_MOST_ONCE_REUSE_MS = 500L

/**
 * Takes one admitted request through its attempts to its one answer. Only used on the event loop.
 *
 * @param regions the only regions that may serve it; empty for all.
 */
internal class CallRun(
    private val call: RelayedCall,
    private val regions: Set<RegionId>,
    private val parts: RelayParts,
) {
    private var attempt: Attempt? = null
    private var timer: ScheduledFuture<*>? = null
    private var firstEventMs: Long? = null
    private var longestPauseMs = 0L

    /** Begins. */
    fun start() {
        val leftMs = call.times.finalMs - parts.nowMs()
        timer = parts.loop.schedule(::onTimeout, maxOf(0, leftMs), TimeUnit.MILLISECONDS)
        sendToNext()
    }

    /** Gives up because the caller left; the endpoint sees its connection closed. */
    fun onCallerGone() {
        if (call.over) return
        leaveAttempt()
        finish("caller_gone", null)
    }

    /** Reads on or pauses, as the caller's connection allows. */
    fun onWritable(writable: Boolean) {
        attempt?.exchange?.onWritable(writable)
    }

    private fun onTimeout() {
        if (call.over) return
        val sent = attempt?.sent == true || call.mayHaveRun
        leaveAttempt()
        when {
            call.delivered -> abort("timeout")
            sent -> refuse(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout", Outcome.UNKNOWN, null)
            else -> refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "timeout", Outcome.NOT_RUN, RETRY_AFTER_MS)
        }
    }

    private fun sendToNext() {
        when (val decision = parts.chooser.choose(call, regions, parts.nowMs())) {
            is TargetDecision.Refused -> onNoTarget(decision)
            is TargetDecision.Chosen -> begin(decision.target)
        }
    }

    private fun onNoTarget(decision: TargetDecision.Refused) = when {
        call.delivered -> abort(decision.reason)
        call.mayHaveRun && !call.route.repeatable ->
            refuse(HttpResponseStatus.BAD_GATEWAY, decision.reason, Outcome.UNKNOWN, null)
        else ->
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, decision.reason, Outcome.NOT_RUN, decision.retryAfterMs)
    }

    private fun begin(target: Target) {
        parts.journal.placed(call, target, parts.nowMs())
        call.attempted = true
        val current = Attempt(target)
        attempt = current
        val reuseIdleMs = if (call.route.repeatable) REPEATABLE_REUSE_MS else AT_MOST_ONCE_REUSE_MS
        current.exchange.begin(reuseIdleMs, parts.nowMs())
    }

    private fun leaveAttempt() {
        attempt?.let {
            attempt = null
            it.leave()
        }
    }

    private fun onAttemptEnd(ended: Attempt, end: RelayEnd) {
        attempt = null
        ended.leave()
        val target = ended.target
        parts.journal.attemptEnded(call, target, end)
        call.tried += target.endpoint.id
        if (end is RelayEnd.Broken) {
            call.mayHaveRun = true
            parts.suspects.onBreak(call, target.endpoint.id)
        }
        if (end is RelayEnd.Failed) call.mayHaveRun = true
        val leftMs = call.times.finalMs - parts.nowMs()
        val request = RelayedRequest(
            call.route.repeatable,
            call.route.resumable,
            call.attempts,
            call.route.maximumAttempts,
            call.mayHaveRun,
            leftMs,
        )
        follow(decideRelayStep(request, end) { parts.tryRepeat(call.pool.id) }, ended)
    }

    private fun follow(step: RelayStep, ended: Attempt) = when (step) {
        RelayStep.SendAgain, RelayStep.Resume -> sendToNext()
        RelayStep.Deliver -> deliverWhole(ended)
        is RelayStep.RefuseNotRun ->
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, step.reason, Outcome.NOT_RUN, RETRY_AFTER_MS)
        is RelayStep.AnswerUnknown -> refuse(HttpResponseStatus.BAD_GATEWAY, step.reason, Outcome.UNKNOWN, null)
        is RelayStep.Abort -> abort(step.reason)
    }

    private fun deliverWhole(ended: Attempt) {
        val head = ended.head ?: return abort("answer without a head")
        call.sink.head(head)
        if (ended.body.isReadable) call.sink.content(ended.body.retain())
        call.sink.end()
        finish("delivered", head.status().code())
    }

    private fun refuse(status: HttpResponseStatus, reason: String, outcome: Outcome, retryAfterMs: Long?) {
        if (call.over) return
        call.sink.refuse(Refusal(status, outcome.text, reason, outcome, retryAfterMs))
        finish(reason, status.code())
    }

    private fun abort(reason: String) {
        if (call.over) return
        call.sink.abort(reason)
        finish("aborted: $reason", null)
    }

    private fun finish(result: String, status: Int?) {
        call.over = true
        timer?.cancel(false)
        val nowMs = parts.nowMs()
        parts.journal.ended(call, result, status, CallTiming(firstEventMs, longestPauseMs, nowMs))
        parts.onEnded(call)
    }

    /** Receives the answer of one endpoint. */
    private inner class Attempt(val target: Target) : ExchangeListener {
        val exchange = EndpointExchange(
            target.endpoint,
            call.requestId,
            parts.connections,
            parts.dialect,
            parts.loop,
            this,
        )
        var sent = false
        var head: HttpResponse? = null
        val body: ByteBuf = Unpooled.buffer(0)
        private val events = EventSplitter()
        private var mode = Mode.AWAITING_HEAD
        private var reused = false
        private var sentMs = 0L
        private var lastEventMs = 0L
        private var resumesAfter: String? = null
        private var left = false

        /** Ends the exchange if it still runs and gives back the endpoint's load. */
        fun leave() {
            if (left) return
            left = true
            exchange.cancel()
            target.run?.let { target.state.engine.onEnd(it) } ?: target.state.service.onEnd()
            events.close()
        }

        override fun onConnected(reused: Boolean): DefaultFullHttpRequest? {
            if (call.over) return null
            this.reused = reused
            sent = true
            sentMs = parts.nowMs()
            call.attempts++
            resumesAfter = call.lastEvent
            return message()
        }

        override fun onNotSent(reason: String) {
            sign(EndpointSign.UNREACHABLE)
            onAttemptEnd(this, RelayEnd.NotSent(reason))
        }

        override fun onHead(response: HttpResponse, facts: AnswerFacts) {
            val status = response.status().code()
            val success = status in FIRST_SUCCESS until FIRST_REDIRECT
            facts.occupied?.let { target.state.service.onReport(it, parts.nowMs()) }
            mode = when {
                facts.notRun || status == HttpResponseStatus.MISDIRECTED_REQUEST.code() -> Mode.NOT_RUN
                !facts.genuine -> Mode.FOREIGN
                success && call.route.form == AnswerForm.EVENTS -> Mode.EVENTS
                else -> Mode.WHOLE
            }
            head = response
            if (mode == Mode.FOREIGN) {
                exchange.cancel()
                onBroken("unsigned answer with status $status")
            }
        }

        override fun onContent(data: ByteBuf) {
            when (mode) {
                Mode.EVENTS -> events.feed(data).forEach(::onEvent)
                Mode.WHOLE -> onWholeContent(data)
                else -> Unit
            }
        }

        override fun onEnd() {
            val status = head?.status()?.code() ?: 0
            when (mode) {
                Mode.EVENTS -> onEventsEnd()
                Mode.NOT_RUN -> onNotRun(status)
                Mode.WHOLE -> onWholeEnd(status)
                else -> onBroken("no answer")
            }
        }

        override fun onBroken(reason: String) {
            if (!reused) sign(EndpointSign.FAILED)
            parts.connections.discard(target.endpoint.id)
            onAttemptEnd(this, RelayEnd.Broken(reason, call.delivered))
        }

        /** A refusal tells of an endpoint that is full or failing, 421 of one that is no longer there. */
        private fun onNotRun(status: Int) {
            val gone = status == HttpResponseStatus.MISDIRECTED_REQUEST.code()
            sign(if (gone) EndpointSign.UNREACHABLE else EndpointSign.FAILED)
            onAttemptEnd(this, RelayEnd.NotRun(status))
        }

        private fun message(): DefaultFullHttpRequest {
            val source = call.message
            val content = Unpooled.wrappedBuffer(source.body)
            val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, source.method, source.uri, content)
            val leftMs = call.times.deadlineMs - parts.nowMs()
            val facts =
                SendingFacts(target.endpoint.id.value, call.workspace?.value, maxOf(1, leftMs), call.lastEvent)
            message.headers().set(source.headers.endToEnd())
            parts.dialect.writeRequest(message.headers(), facts)
            if (content.isReadable || source.headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
            }
            return message
        }

        private fun onEvent(event: StreamEvent) {
            val nowMs = parts.nowMs()
            noteEvent(nowMs)
            if (isRepeated(event)) {
                event.bytes.release()
                return
            }
            deliverHead()
            event.id?.let { call.lastEvent = it }
            call.sink.content(event.bytes)
            exchange.onWritable(call.sink.writable)
        }

        private fun noteEvent(nowMs: Long) {
            val run = target.run
            if (lastEventMs == 0L) {
                sign(EndpointSign.GOOD)
                run?.let { target.state.engine.onFirstEvent(it, (nowMs - sentMs) - target.distanceMs) }
                if (firstEventMs == null) firstEventMs = nowMs
            } else {
                val tokens = call.pool.engine?.tokensPerEvent ?: 1
                target.state.engine.onEvent(nowMs - lastEventMs, tokens, nowMs)
                longestPauseMs = maxOf(longestPauseMs, nowMs - lastEventMs)
            }
            lastEventMs = nowMs
        }

        private fun isRepeated(event: StreamEvent): Boolean {
            val after = resumesAfter?.toLongOrNull() ?: return false
            val id = event.id?.toLongOrNull() ?: return false
            return id <= after
        }

        private fun deliverHead() {
            if (call.delivered) return
            call.delivered = true
            head?.let { call.sink.head(it) }
        }

        private fun onEventsEnd() {
            deliverHead()
            if (events.midEvent) call.sink.content(events.rest())
            leaveAttempt()
            call.sink.end()
            finish("delivered", head?.status()?.code())
        }

        private fun onWholeContent(data: ByteBuf) {
            body.writeBytes(data, data.readerIndex(), data.readableBytes())
            if (call.delivered || body.readableBytes() > BUFFER_LIMIT_BYTES) {
                deliverHead()
                call.sink.content(body.readBytes(body.readableBytes()))
                exchange.onWritable(call.sink.writable)
            }
        }

        private fun onWholeEnd(status: Int) {
            val failed = status >= FIRST_REDIRECT
            sign(
                if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) EndpointSign.FAILED else EndpointSign.GOOD
            )
            if (!failed) target.state.service.onAnswer(maxOf(0, parts.nowMs() - sentMs - target.distanceMs.toLong()))
            when {
                call.delivered -> {
                    leaveAttempt()
                    call.sink.end()
                    finish("delivered", status)
                }
                failed -> onAttemptEnd(this, RelayEnd.Failed(status))
                else -> {
                    attempt = null
                    leave()
                    deliverWhole(this)
                }
            }
        }

        private fun sign(sign: EndpointSign) {
            if (target.state.health.onSign(sign, parts.nowMs())) parts.journal.ejected(target.endpoint.id, sign)
        }
    }

    private enum class Mode { AWAITING_HEAD, EVENTS, WHOLE, NOT_RUN, FOREIGN }
}
