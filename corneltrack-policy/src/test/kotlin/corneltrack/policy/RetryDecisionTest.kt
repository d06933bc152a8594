package corneltrack.policy

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class RetryDecisionTest {
    private val once = AttemptedRequest(idempotent = false, attempts = 1, deadlineMs = 1_000)
    private val idempotent = once.copy(idempotent = true)

    @Test
    fun `a request that may have left and is not idempotent is never sent again`() {
        for (result in listOf(broken(), broken(reused = true), broken(silent = true))) {
            assertIs<NextStep.AnswerUnknown>(decideNextStep(once, result, RetryBudget(), 0), "$result")
        }
    }

    @Test
    fun `a request of which nothing left may be sent elsewhere whatever it is`() {
        assertIs<NextStep.Retry>(decideNextStep(once, AttemptResult.NotSent("refused"), RetryBudget(), 0))
    }

    @Test
    fun `an idempotent request is retried within its deadline and the budget only`() {
        assertIs<NextStep.Retry>(decideNextStep(idempotent, broken(), RetryBudget(), 0))
        assertIs<NextStep.AnswerUnknown>(decideNextStep(idempotent, broken(), RetryBudget(), 1_000))
        assertIs<NextStep.AnswerUnknown>(decideNextStep(idempotent, broken(), RetryBudget(reserve = 0.0), 0))
    }

    @Test
    fun `not run is said only where no attempt can have run`() {
        val spent = RetryBudget(reserve = 0.0)
        val result = AttemptResult.NotSent("refused")
        assertIs<NextStep.RefuseNotRun>(decideNextStep(idempotent, result, spent, 0))
        assertIs<NextStep.AnswerUnknown>(decideNextStep(idempotent.copy(mayHaveRun = true), result, spent, 0))
    }

    @Test
    fun `an answer that has begun is broken off rather than begun again`() {
        assertIs<NextStep.Abort>(decideNextStep(idempotent, broken(delivered = true), RetryBudget(), 0))
    }

    @Test
    fun `a complete response and a departed caller finish the request`() {
        assertEquals(NextStep.Finish, decideNextStep(once, AttemptResult.Done(500), RetryBudget(), 0))
        assertEquals(NextStep.Finish, decideNextStep(once, AttemptResult.CallerGone, RetryBudget(), 0))
    }

    private fun broken(delivered: Boolean = false, reused: Boolean = false, silent: Boolean = false) =
        AttemptResult.Broken("reset", delivered, reused, silent)
}
