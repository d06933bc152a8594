package corneltrack.policy

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class RetryDecisionTest {
    private val notIdempotent = AttemptedRequest(idempotent = false, attempts = 1, deadlineMs = 1_000)
    private val idempotent = notIdempotent.copy(idempotent = true)

    @Test
    fun `a request that is not idempotent and may have been sent is not retried`() {
        for (result in listOf(broken(), broken(reused = true), broken(silent = true))) {
            assertIs<NextStep.AnswerUnknown>(decideNextStep(notIdempotent, result, RetryBudget(), 0), "$result")
        }
    }

    @Test
    fun `a request of which no byte was sent is retried even if it is not idempotent`() {
        assertIs<NextStep.Retry>(decideNextStep(notIdempotent, AttemptResult.NotSent("refused"), RetryBudget(), 0))
    }

    @Test
    fun `an idempotent request is retried only within its deadline and the retry budget`() {
        assertIs<NextStep.Retry>(decideNextStep(idempotent, broken(), RetryBudget(), 0))
        assertIs<NextStep.AnswerUnknown>(decideNextStep(idempotent, broken(), RetryBudget(), 1_000))
        assertIs<NextStep.AnswerUnknown>(decideNextStep(idempotent, broken(), RetryBudget(reserve = 0.0), 0))
    }

    @Test
    fun `not run is reported only if no attempt may have run`() {
        val exhausted = RetryBudget(reserve = 0.0)
        val result = AttemptResult.NotSent("refused")
        assertIs<NextStep.RefuseNotRun>(decideNextStep(idempotent, result, exhausted, 0))
        assertIs<NextStep.AnswerUnknown>(decideNextStep(idempotent.copy(mayHaveRun = true), result, exhausted, 0))
    }

    @Test
    fun `a partially delivered response is aborted and not retried`() {
        assertIs<NextStep.Abort>(decideNextStep(idempotent, broken(delivered = true), RetryBudget(), 0))
    }

    @Test
    fun `a complete response and a departed caller finish the request`() {
        assertEquals(NextStep.Finish, decideNextStep(notIdempotent, AttemptResult.Done(500), RetryBudget(), 0))
        assertEquals(NextStep.Finish, decideNextStep(notIdempotent, AttemptResult.CallerGone, RetryBudget(), 0))
    }

    private fun broken(delivered: Boolean = false, reused: Boolean = false, silent: Boolean = false) =
        AttemptResult.Broken("reset", delivered, reused, silent)
}
