package corneltrack.policy.rollout

import kotlin.test.Test
import kotlin.test.assertEquals

class RolloutStatusTest {
    // Guards against a version that is tried again since the store has lost that it was rolled back.
    @Test
    fun `a status follows the earlier phases of its own order only`() {
        val following = RolloutPhase.entries.associateWith { later ->
            RolloutPhase.entries.filter { status(1, later).follows(status(1, it)) }
        }

        val expected = mapOf(
            RolloutPhase.TRIAL to emptyList(),
            RolloutPhase.SHIFTING to listOf(RolloutPhase.TRIAL),
            RolloutPhase.COMPLETED to listOf(RolloutPhase.TRIAL, RolloutPhase.SHIFTING),
            RolloutPhase.ROLLED_BACK to listOf(RolloutPhase.TRIAL, RolloutPhase.SHIFTING),
        )
        assertEquals(expected, following)
        assertEquals(false, status(1, RolloutPhase.ROLLED_BACK).follows(status(2, RolloutPhase.TRIAL)))
    }

    private fun status(orderId: Long, phase: RolloutPhase) = RolloutStatus(orderId, "v2", "v1", phase, 0, "router")
}
