package corneltrack.policy

private const val MAXIMUM_ATTEMPTS = 4

/** The result of one attempt to run a request at an endpoint. */
public sealed interface AttemptResult {
    /** The endpoint sent a complete response, which was delivered to the caller. */
    public data class Done(val status: Int) : AttemptResult

    /** No byte of the request was sent, so it did not run. */
    public data class NotSent(val reason: String) : AttemptResult

    /** The endpoint refused the request because it is overloaded; its complete response was not delivered. */
    public data class Refused(val status: Int) : AttemptResult

    /**
     * The connection broke or reached its idle timeout.
     *
     * @property delivered whether a part of the response was delivered to the caller.
     * @property reused whether the connection had served an earlier request, so that it may have been stale.
     * @property silent whether the connection was still open but reached its idle timeout.
     * @property atMs when the break was detected, in ms of the router's clock.
     */
    public data class Broken(
        val reason: String,
        val delivered: Boolean,
        val reused: Boolean = false,
        val silent: Boolean = false,
        val atMs: Long = 0,
    ) : AttemptResult {
        /** Whether the endpoint itself may have crashed. */
        val mayIndicateCrash: Boolean get() = !reused && !silent
    }

    /** The caller disconnected. */
    public data object CallerGone : AttemptResult
}

/** The step that follows an attempt. */
public sealed interface NextStep {
    /** The request is finished. */
    public data object Finish : NextStep

    /** Queue the request for another slot. */
    public data object Retry : NextStep

    /** Respond to the caller that the request did not run. */
    public data class RefuseNotRun(val reason: String) : NextStep

    /** Respond to the caller that the request may have run. */
    public data class AnswerUnknown(val reason: String) : NextStep

    /** Abort the caller's connection, so that a partial response is not taken for a complete one. */
    public data class Abort(val reason: String) : NextStep
}

/**
 * The request that an attempt was made for.
 *
 * @property idempotent whether the request may safely run more than once.
 * @property attempts the number of attempts, including the one that ended.
 * @property deadlineMs the time after which the request is not retried, in ms of the router's clock.
 * @property mayHaveRun whether the request may have run in an earlier attempt.
 */
public data class AttemptedRequest(
    val idempotent: Boolean,
    val attempts: Int,
    val deadlineMs: Long,
    val mayHaveRun: Boolean = false,
)

/**
 * Decides the step that follows the [result] of an attempt.
 *
 * A request that is not idempotent is not retried once a byte of it may have been sent. Others are retried until their
 * deadline, as far as [budget] allows.
 */
public fun decideNextStep(
    request: AttemptedRequest,
    result: AttemptResult,
    budget: RetryBudget,
    nowMs: Long,
): NextStep =
    when (result) {
        is AttemptResult.Done, AttemptResult.CallerGone -> NextStep.Finish
        is AttemptResult.NotSent -> request.retryOr(budget, nowMs) { request.refuseOrUnknown(result.reason) }
        is AttemptResult.Refused -> request.retryOr(budget, nowMs) {
            request.refuseOrUnknown("endpoints have too much work")
        }
        is AttemptResult.Broken -> when {
            result.delivered -> NextStep.Abort(result.reason)
            !request.idempotent -> NextStep.AnswerUnknown(result.reason)
            else -> request.retryOr(budget, nowMs) { NextStep.AnswerUnknown(result.reason) }
        }
    }

private fun AttemptedRequest.refuseOrUnknown(reason: String): NextStep =
    if (mayHaveRun) NextStep.AnswerUnknown(reason) else NextStep.RefuseNotRun(reason)

private fun AttemptedRequest.retryOr(budget: RetryBudget, nowMs: Long, otherwise: () -> NextStep): NextStep {
    val mayRetry = attempts < MAXIMUM_ATTEMPTS && nowMs < deadlineMs && budget.tryRetry()
    return if (mayRetry) NextStep.Retry else otherwise()
}
