package corneltrack.router.relay

import corneltrack.policy.limits.RelayAttemptResult
import corneltrack.policy.limits.RelayStep
import corneltrack.policy.limits.RelayedRequest
import corneltrack.policy.limits.decideRelayStep
import corneltrack.router.relay.streams.StreamContinuation
import corneltrack.router.relay.streams.onDelivered
import corneltrack.router.relay.streams.onTakeUp
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

private const val DEFAULT_RETRY_AFTER_MS = 300L
private const val UNKNOWN_STREAM = "unknown stream"

/** After this time, routers have shared the streams that they have just begun, in ms. */
private const val UNKNOWN_STREAM_RETRY_MS = 500L

/** Runs the attempts of one admitted request until the call is completed. Confined to the event loop. */
internal class CallRunner(
    private val call: RelayedCall,
    private val context: RelayContext,
) : AttemptOwner {
    private val completion = CallCompletion(call, context) { timer?.cancel(false) }
    private var attempt: EndpointAttempt? = null
    private var timer: ScheduledFuture<*>? = null

    override val mayRetry: Boolean
        get() = call.toRelayedRequest(context.nowMs()).hasAttemptLeft && context.allowsRetry(call.pool.id)

    /** Starts the response deadline and the first attempt. */
    fun start() {
        val remainingMs = call.times.responseDeadlineMs - context.nowMs()
        timer = context.loop.schedule(::onTimeout, maxOf(0, remainingMs), TimeUnit.MILLISECONDS)
        if (call.takesUp == null) return startNextAttempt()
        context.streams.onTakeUp(call) { continuation ->
            call.streamVersion = (continuation as? StreamContinuation.At)?.version
            val unknown = continuation == StreamContinuation.Unknown
            if (unknown) completion.refuseNotRun(UNKNOWN_STREAM, UNKNOWN_STREAM_RETRY_MS) else startNextAttempt()
        }
    }

    /** Cancels the call because the caller disconnected; the endpoint sees its connection closed. */
    fun onCallerDisconnected() {
        if (call.finished) return
        closeAttempt()
        completion.onCallerDisconnected()
    }

    /** Pauses or resumes reading from the endpoint, so that a slow caller exerts backpressure. */
    fun onWritable(writable: Boolean) {
        attempt?.onWritable(writable)
    }

    override fun onCompleted(attempt: EndpointAttempt) {
        closeAttempt()
        attempt.deliver()
        context.partSuspects.onAnswered(call)
        context.streams.onDelivered(call)
        completion.onDelivered(attempt.status)
    }

    override fun onFailed(attempt: EndpointAttempt, result: RelayAttemptResult) {
        closeAttempt()
        context.eventLog.attemptEnded(call, attempt.target, result)
        context.metrics.onAttemptFailed(result)
        call.triedEndpoints += attempt.target.endpoint.id
        val trialVersion = context.versions.isOnTrial(call.pool.id, attempt.target.version.name)
        if (result is RelayAttemptResult.Broken && result.connectionLost && !trialVersion) {
            context.suspects.onBroken(call, attempt.target.endpoint.id)
            if (!attempt.answering) context.partSuspects.onCrash(call, attempt.target)
        }
        if (result !is RelayAttemptResult.NotSent && result !is RelayAttemptResult.NotRun) call.mayHaveRun = true
        val request = call.toRelayedRequest(context.nowMs())
        perform(decideRelayStep(request, result) { context.tryRetry(call.pool.id) }, attempt)
    }

    private fun perform(step: RelayStep, failed: EndpointAttempt) {
        when (step) {
            RelayStep.Retry, RelayStep.Resume -> startNextAttempt()
            RelayStep.Deliver -> onCompleted(failed)
            is RelayStep.RefuseNotRun -> {
                val pausedMs = context.chooser.pausedRetryAfterMs(call, context.nowMs())
                completion.refuseNotRun(step.reason, pausedMs ?: DEFAULT_RETRY_AFTER_MS)
            }
            is RelayStep.AnswerUnknown -> completion.refuseUnknown(HttpResponseStatus.BAD_GATEWAY, step.reason)
            is RelayStep.Abort -> completion.abort(step.reason)
        }
    }

    /** Chooses an endpoint for the next attempt; a call that was held may have ended meanwhile. */
    private fun startNextAttempt() {
        if (call.finished) return context.chooser.onHeldEnded(call)
        when (val decision = context.chooser.choose(call, context.nowMs())) {
            is TargetDecision.Refused -> onNoTarget(decision)
            is TargetDecision.Held ->
                context.loop.schedule(::startNextAttempt, decision.retryMs, TimeUnit.MILLISECONDS)
            is TargetDecision.Chosen -> {
                call.placed = true
                context.eventLog.placed(call, decision.target, context.nowMs())
                attempt = EndpointAttempt(call, decision.target, context, this).also { it.start() }
            }
        }
    }

    private fun onNoTarget(refused: TargetDecision.Refused) {
        if (call.generation != null) context.metrics.onNotPlaced(call, refused.reason)
        if (call.mayHaveRun && !call.route.idempotent) {
            completion.refuseUnknown(HttpResponseStatus.BAD_GATEWAY, refused.reason)
        } else {
            completion.refuseNotRun(refused.reason, refused.retryAfterMs)
        }
    }

    private fun onTimeout() {
        if (call.finished) return
        val mayHaveRun = attempt?.sent == true || call.mayHaveRun
        attempt?.onTimeout()
        closeAttempt()
        if (mayHaveRun) {
            completion.refuseUnknown(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout")
        } else {
            completion.refuseNotRun("timeout", DEFAULT_RETRY_AFTER_MS)
        }
    }

    private fun closeAttempt() {
        attempt?.close()
        attempt = null
    }
}

private fun RelayedCall.toRelayedRequest(nowMs: Long) = RelayedRequest(
    route.idempotent,
    route.resumable,
    attempts,
    route.maximumAttempts,
    mayHaveRun,
    times.responseDeadlineMs - nowMs,
)
