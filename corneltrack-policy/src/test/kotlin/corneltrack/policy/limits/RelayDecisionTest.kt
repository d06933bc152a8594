package corneltrack.policy.limits

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class RelayDecisionTest {
    private val nonIdempotent = RelayedRequest(
        idempotent = false,
        resumable = false,
        attempts = 1,
        maximumAttempts = 2,
        mayHaveRun = false,
        timeLeftMs = 1_000,
    )
    private val idempotent = nonIdempotent.copy(idempotent = true)
    private val broken = RelayAttemptResult.Broken("reset", delivered = false)

    @Test
    fun `a request that is not idempotent is never retried after a break`() {
        assertIs<RelayStep.AnswerUnknown>(decide(nonIdempotent, broken))
    }

    @Test
    fun `an idempotent request is retried within the retry budget`() {
        assertEquals(RelayStep.Retry, decide(idempotent, broken))
        assertIs<RelayStep.AnswerUnknown>(decide(idempotent, broken, withinBudget = false))
    }

    @Test
    fun `a request that the endpoint did not run is retried or refused as not run`() {
        assertEquals(RelayStep.Retry, decide(nonIdempotent, RelayAttemptResult.NotRun(503)))
        assertIs<RelayStep.RefuseNotRun>(decide(nonIdempotent, RelayAttemptResult.NotRun(503), withinBudget = false))
        assertIs<RelayStep.RefuseNotRun>(decide(nonIdempotent.copy(attempts = 2), RelayAttemptResult.NotRun(421)))
    }

    @Test
    fun `a refusal after an attempt that may have run is not reported as not run`() {
        assertIs<RelayStep.AnswerUnknown>(
            decide(nonIdempotent.copy(mayHaveRun = true, attempts = 2), RelayAttemptResult.NotRun(503)),
        )
    }

    @Test
    fun `a request that was not sent needs no retry budget`() {
        assertEquals(
            RelayStep.Retry,
            decide(nonIdempotent, RelayAttemptResult.NotSent("refused"), withinBudget = false),
        )
        assertIs<RelayStep.RefuseNotRun>(
            decide(nonIdempotent.copy(timeLeftMs = 0), RelayAttemptResult.NotSent("refused")),
        )
    }

    @Test
    fun `a partial response is resumed at another endpoint or aborted, and never completed`() {
        val partial = RelayAttemptResult.Broken("reset", delivered = true)

        assertEquals(RelayStep.Resume, decide(idempotent.copy(resumable = true), partial))
        assertIs<RelayStep.Abort>(decide(idempotent, partial))
        assertIs<RelayStep.Abort>(decide(idempotent.copy(resumable = true), partial, withinBudget = false))
    }

    @Test
    fun `a failure never completes a response of which the caller has a part`() {
        val failed = RelayAttemptResult.Failed(500, delivered = true)

        assertEquals(RelayStep.Resume, decide(idempotent.copy(resumable = true), failed))
        assertIs<RelayStep.Abort>(decide(idempotent.copy(resumable = true, attempts = 2), failed))
        assertIs<RelayStep.Abort>(decide(nonIdempotent, failed))
    }

    @Test
    fun `a failure is delivered if the request may not be retried`() {
        assertEquals(RelayStep.Deliver, decide(nonIdempotent, RelayAttemptResult.Failed(500)))
        assertEquals(RelayStep.Retry, decide(idempotent, RelayAttemptResult.Failed(500)))
        assertEquals(RelayStep.Deliver, decide(idempotent.copy(attempts = 2), RelayAttemptResult.Failed(500)))
    }

    private fun decide(request: RelayedRequest, result: RelayAttemptResult, withinBudget: Boolean = true) =
        decideRelayStep(request, result) { withinBudget }
}
