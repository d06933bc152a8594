package corneltrack.router.relay

import corneltrack.router.callers.Outcome
import corneltrack.router.callers.Refusal
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Completes a call once; later completions are ignored. Confined to the event loop.
 *
 * @param onFinished runs once, when the call is completed.
 */
internal class CallCompletion(
    private val call: RelayedCall,
    private val context: RelayContext,
    private val onFinished: () -> Unit,
) {
    /** Records that the complete response was delivered. */
    fun onDelivered(status: Int?) = complete("delivered", status)

    /** Records that the caller disconnected. */
    fun onCallerDisconnected() = complete("caller_gone", null)

    /** Refuses a request that no endpoint ran, with a time to retry; aborts if the response has started. */
    fun refuseNotRun(reason: String, retryAfterMs: Long) {
        if (call.responseStarted) return abort(reason)
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, Outcome.NOT_RUN, retryAfterMs)
    }

    /** Refuses a request that may have run; aborts if the response has started. */
    fun refuseUnknown(status: HttpResponseStatus, reason: String) {
        if (call.responseStarted) return abort(reason)
        refuse(status, reason, Outcome.UNKNOWN, null)
    }

    /** Closes the caller's connection, so that a truncated response does not look complete. */
    fun abort(reason: String) {
        if (call.finished) return
        call.sink.abort(reason)
        complete("aborted: $reason", null)
    }

    private fun refuse(status: HttpResponseStatus, reason: String, outcome: Outcome, retryAfterMs: Long?) {
        if (call.finished) return
        call.sink.refuse(Refusal(status, outcome.text, reason, outcome, retryAfterMs))
        complete(reason, status.code())
    }

    private fun complete(result: String, status: Int?) {
        if (call.finished) return
        call.finished = true
        onFinished()
        context.eventLog.ended(call, result, status, context.nowMs())
        context.metrics.onEnded(call, result, context.nowMs())
    }
}
