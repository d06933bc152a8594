package corneltrack.policy.placement

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertSame
import kotlin.test.assertTrue

class RankLimitsTest {
    private val limits = admissionLimits(objectiveMs = 600, elapsedMs = 0, fairShareRatio = 0.5)

    // Guards against limits that change in deployments that rank nothing.
    @Test
    fun `limits stay as they are where all priorities are equal and for the highest`() {
        assertSame(limits, limits.ranked(1, setOf(1)))
        assertSame(limits, limits.ranked(1, emptySet()))
        assertSame(limits, limits.ranked(0, setOf(0, 1, 2)))
    }

    // Guards against requests of a low priority that fill the queue before urgent ones.
    @Test
    fun `lower priorities are refused at a shorter queue`() {
        val ranked = (0..2).map { limits.ranked(it, setOf(0, 1, 2)).waitLimitMs }

        assertEquals(ranked.sortedDescending(), ranked)
        assertEquals(3, ranked.toSet().size)
    }

    @Test
    fun `the lowest of many priorities keeps a part of its limits`() {
        val lowest = limits.ranked(9, (0..9).toSet())

        assertTrue(lowest.waitLimitMs > 0.3 * limits.waitLimitMs, "limits $lowest of $limits")
        assertEquals(limits.missWeight, lowest.missWeight)
    }
}
