package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.RolloutResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class RatioScaleTest {
    private val scale = RatioScale()

    // Guards against a good version that looks slow because its responses come after the scale has moved.
    @Test
    fun `the baseline's first responses set the scale for both versions once`() {
        assertNull(ratio(9.0, baseline = false))
        listOf(0.02, 0.04, 0.05, 0.06, 0.9).forEach { assertNull(ratio(it, baseline = true)) }

        assertEquals(1.0, ratio(0.05, baseline = false))
        assertEquals(20.0, ratio(1.0, baseline = true))
        assertEquals(3.0, ratio(0.15, baseline = false)!!, absoluteTolerance = 1e-9)
    }

    private fun ratio(value: Double, baseline: Boolean): Double? =
        scale.scaled(RolloutResponse("v", "route", failed = false, firstEventRatio = value), baseline).firstEventRatio
}
