package corneltrack.router.relay

import corneltrack.policy.limits.RelayAttemptResult
import corneltrack.policy.limits.RelayStep
import corneltrack.policy.limits.RelayedRequest
import corneltrack.policy.limits.decideRelayStep
import corneltrack.world.RegionId
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

private const val DEFAULT_RETRY_AFTER_MS = 300L

/**
 * Takes one admitted request through its attempts to its one answer. Only used on the event loop.
 *
 * @param regions the only regions that may serve it; empty for all.
 */
internal class CallRun(
    private val call: RelayedCall,
    private val regions: Set<RegionId>,
    private val context: RelayContext,
) : AttemptOwner {
    private val ending = CallEnding(call, context) { timer?.cancel(false) }
    private var attempt: EndpointAttempt? = null
    private var timer: ScheduledFuture<*>? = null

    override val mayRetry: Boolean
        get() = call.toRelayedRequest(context.nowMs()).hasAttemptLeft && context.allowsRetry(call.pool.id)

    /** Begins. */
    fun start() {
        val leftMs = call.times.finalMs - context.nowMs()
        timer = context.loop.schedule(::onTimeout, maxOf(0, leftMs), TimeUnit.MILLISECONDS)
        sendToNext()
    }

    /** Gives up because the caller left; the endpoint sees its connection closed. */
    fun onCallerGone() {
        if (call.over) return
        leaveAttempt()
        ending.callerGone()
    }

    /** Reads on or pauses, as the caller's connection allows. */
    fun onWritable(writable: Boolean) {
        attempt?.onWritable(writable)
    }

    override fun onAnswered(attempt: EndpointAttempt) {
        leaveAttempt()
        attempt.deliver()
        ending.delivered(attempt.status)
    }

    override fun onFailed(attempt: EndpointAttempt, end: RelayAttemptResult) {
        leaveAttempt()
        context.eventLog.attemptEnded(call, attempt.target, end)
        context.metrics.onAttemptFailed(end)
        call.tried += attempt.target.endpoint.id
        if (end is RelayAttemptResult.Broken) context.suspects.onBreak(call, attempt.target.endpoint.id)
        if (end !is RelayAttemptResult.NotSent && end !is RelayAttemptResult.NotRun) call.mayHaveRun = true
        val request = call.toRelayedRequest(context.nowMs())
        follow(decideRelayStep(request, end) { context.tryRetry(call.pool.id) }, attempt)
    }

    private fun follow(step: RelayStep, failed: EndpointAttempt) {
        when (step) {
            RelayStep.Retry, RelayStep.Resume -> sendToNext()
            RelayStep.Deliver -> onAnswered(failed)
            is RelayStep.RefuseNotRun -> ending.notRun(step.reason, DEFAULT_RETRY_AFTER_MS)
            is RelayStep.AnswerUnknown -> ending.unknown(HttpResponseStatus.BAD_GATEWAY, step.reason)
            is RelayStep.Abort -> ending.abort(step.reason)
        }
    }

    private fun sendToNext() {
        when (val decision = context.chooser.choose(call, regions, context.nowMs())) {
            is TargetDecision.Refused -> onNoTarget(decision)
            is TargetDecision.Chosen -> {
                call.attempted = true
                context.eventLog.placed(call, decision.target, context.nowMs())
                attempt = EndpointAttempt(call, decision.target, context, this).also { it.begin() }
            }
        }
    }

    private fun onNoTarget(refused: TargetDecision.Refused) {
        if (call.mayHaveRun && !call.route.idempotent) {
            ending.unknown(HttpResponseStatus.BAD_GATEWAY, refused.reason)
        } else {
            ending.notRun(refused.reason, refused.retryAfterMs)
        }
    }

    private fun onTimeout() {
        if (call.over) return
        val mayHaveRun = attempt?.sent == true || call.mayHaveRun
        leaveAttempt()
        if (mayHaveRun) {
            ending.unknown(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout")
        } else {
            ending.notRun("timeout", DEFAULT_RETRY_AFTER_MS)
        }
    }

    private fun leaveAttempt() {
        attempt?.leave()
        attempt = null
    }
}

private fun RelayedCall.toRelayedRequest(nowMs: Long) = RelayedRequest(
    route.idempotent,
    route.resumable,
    attempts,
    route.maximumAttempts,
    mayHaveRun,
    times.finalMs - nowMs,
)
