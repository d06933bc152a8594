package corneltrack.policy.limits

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class RelayDecisionTest {
    private val once = RelayedRequest(
        idempotent = false,
        resumable = false,
        attempts = 1,
        maximumAttempts = 2,
        mayHaveRun = false,
        timeLeftMs = 1_000,
    )
    private val idempotent = once.copy(idempotent = true)
    private val broken = RelayAttemptResult.Broken("reset", delivered = false)

    @Test
    fun `a request that may run once is never sent again after a break`() {
        assertIs<RelayStep.AnswerUnknown>(decide(once, broken))
    }

    @Test
    fun `an idempotent request is sent again within the allowance`() {
        assertEquals(RelayStep.Retry, decide(idempotent, broken))
        assertIs<RelayStep.AnswerUnknown>(decide(idempotent, broken, allowed = false))
    }

    @Test
    fun `a request that the endpoint did not run is sent again, or refused as not run`() {
        assertEquals(RelayStep.Retry, decide(once, RelayAttemptResult.NotRun(503)))
        assertIs<RelayStep.RefuseNotRun>(decide(once, RelayAttemptResult.NotRun(503), allowed = false))
        assertIs<RelayStep.RefuseNotRun>(decide(once.copy(attempts = 2), RelayAttemptResult.NotRun(421)))
    }

    @Test
    fun `a refusal after an attempt that may have run does not say not run`() {
        assertIs<RelayStep.AnswerUnknown>(
            decide(once.copy(mayHaveRun = true, attempts = 2), RelayAttemptResult.NotRun(503)),
        )
    }

    @Test
    fun `a request that did not leave needs no allowance`() {
        assertEquals(RelayStep.Retry, decide(once, RelayAttemptResult.NotSent("refused"), allowed = false))
        assertIs<RelayStep.RefuseNotRun>(decide(once.copy(timeLeftMs = 0), RelayAttemptResult.NotSent("refused")))
    }

    @Test
    fun `a partial answer goes on at another endpoint or breaks off, and is never made whole`() {
        val delivered = RelayAttemptResult.Broken("reset", delivered = true)

        assertEquals(RelayStep.Resume, decide(idempotent.copy(resumable = true), delivered))
        assertIs<RelayStep.Abort>(decide(idempotent, delivered))
        assertIs<RelayStep.Abort>(decide(idempotent.copy(resumable = true), delivered, allowed = false))
    }

    @Test
    fun `a failure never ends an answer that the caller has a part of`() {
        val failed = RelayAttemptResult.Failed(500, delivered = true)

        assertEquals(RelayStep.Resume, decide(idempotent.copy(resumable = true), failed))
        assertIs<RelayStep.Abort>(decide(idempotent.copy(resumable = true, attempts = 2), failed))
        assertIs<RelayStep.Abort>(decide(once, failed))
    }

    @Test
    fun `a failure is passed on where the request may not run again`() {
        assertEquals(RelayStep.Deliver, decide(once, RelayAttemptResult.Failed(500)))
        assertEquals(RelayStep.Retry, decide(idempotent, RelayAttemptResult.Failed(500)))
        assertEquals(RelayStep.Deliver, decide(idempotent.copy(attempts = 2), RelayAttemptResult.Failed(500)))
    }

    private fun decide(request: RelayedRequest, result: RelayAttemptResult, allowed: Boolean = true) =
        decideRelayStep(request, result) { allowed }
}
