package corneltrack.policy.placement

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val OBJECTIVE_MS = 1_000L

/** What a caller whose retry is past its objective has waited, in ms. */
private const val PAST_OBJECTIVE_MS = 2_000L

class AdmissionLimitsTest {
    @Test
    fun `a late retry of a workspace below its share takes no shorter queue than a request of one above its share`() {
        val below = admissionLimits(OBJECTIVE_MS, PAST_OBJECTIVE_MS, fairShareRatio = 0.75)
        val above = admissionLimits(OBJECTIVE_MS, elapsedMs = 0, fairShareRatio = 1.5)

        assertTrue(below.waitLimitMs >= above.waitLimitMs, "below: $below; above: $above")
    }

    @Test
    fun `a late retry of a workspace at its share yields to requests that can still be served in time`() {
        val late = admissionLimits(OBJECTIVE_MS, PAST_OBJECTIVE_MS, fairShareRatio = 1.0)

        assertEquals(200.0, late.waitLimitMs)
    }

    @Test
    fun `a request of a workspace far above its share takes a shorter queue than one at its share`() {
        val limits = listOf(0.5, 0.85, 1.0, 1.5, 2.0).map { admissionLimits(OBJECTIVE_MS, 0, it).waitLimitMs }

        assertEquals(limits.sortedDescending(), limits)
        assertEquals(2.0, limits[2] / limits[4])
    }
}
