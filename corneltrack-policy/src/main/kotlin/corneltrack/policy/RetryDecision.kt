package corneltrack.policy

private const val MAXIMUM_ATTEMPTS = 4

/** The result of one attempt to run a request at an endpoint. */
public sealed interface AttemptResult {
    /** The endpoint answered in full and the answer was delivered. */
    public data class Done(val status: Int) : AttemptResult

    /** No byte of the request left: it did not run. */
    public data class NotSent(val reason: String) : AttemptResult

    /** The endpoint said that it has too much work, with a whole answer that was not delivered. */
    public data class Refused(val status: Int) : AttemptResult

    /**
     * The connection broke or fell silent.
     *
     * @property delivered whether the caller has seen a part of the answer.
     * @property reused whether the connection had served an earlier request, so that it may have gone stale unnoticed.
     * @property silent whether the connection is still open but nothing came.
     * @property atMs when that was seen, in ms of the router's clock.
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

    /** The caller left. */
    public data object CallerGone : AttemptResult
}

/** Tells what to do after an attempt. */
public sealed interface NextStep {
    /** Nothing is left to do. */
    public data object Finish : NextStep

    /** Let the request wait for another slot. */
    public data object Retry : NextStep

    /** Tell the caller truthfully that the request did not run. */
    public data class RefuseNotRun(val reason: String) : NextStep

    /** Tell the caller that the request may have run. */
    public data class AnswerUnknown(val reason: String) : NextStep

    /** Break the caller's connection, so that a partial answer does not look whole. */
    public data class Abort(val reason: String) : NextStep
}

/**
 * Describes the request that an attempt was made for.
 *
 * @property attempts the attempts so far, including the one that ended.
 * @property mayHaveRun whether an earlier attempt may have run.
 */
public data class AttemptedRequest(
    val idempotent: Boolean,
    val attempts: Int,
    val deadlineMs: Long,
    val mayHaveRun: Boolean = false,
)

/**
 * Decides what follows the [result] of an attempt.
 *
 * A request that is not idempotent is never sent again once a byte of it may have left. Others are retried until their
 * deadline, as long as [budget] allows.
 */
public fun decideNextStep(request: AttemptedRequest, result: AttemptResult, budget: RetryBudget, nowMs: Long): NextStep =
    when (result) {
        is AttemptResult.Done, AttemptResult.CallerGone -> NextStep.Finish
        is AttemptResult.NotSent -> request.retryOr(budget, nowMs) { request.refuseOrUnknown(result.reason) }
        is AttemptResult.Refused -> request.retryOr(budget, nowMs) { request.refuseOrUnknown("endpoints have too much work") }
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
