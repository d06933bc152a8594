package corneltrack.policy.limits

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val BOUND = 21
private const val SECOND_MS = 1_000L
private const val ONE_START_MS = 1_100L

class ColdStartScheduleTest {
    private val turns = ColdStartSchedule(BOUND)

    @Test
    fun `a small fleet needs no turns`() {
        assertTrue((0 until 20).all { turns.mayStart(it, 20, 12_345) })
    }

    @Test
    fun `every router of a large fleet gets its turn`() {
        val due = (0 until 77).count { position -> (0L..20_000L step 100).any { turns.mayStart(position, 77, it) } }

        assertEquals(77, due)
    }

    @Test
    fun `no second sees more starts than a cold endpoint bears, however eager the routers`() {
        for (seed in 1..200) {
            val random = Random(seed)
            val routers = random.nextInt(2, 400)
            val starts = startsOf(routers, random)
            val most = starts.maxOfOrNull { from -> starts.count { it >= from && it < from + SECOND_MS } } ?: 0
            assertTrue(most <= BOUND, "seed $seed: $most starts in a second by $routers routers")
        }
    }

    /** Plays routers that each try at random moments and keep to one start in 1.1 s. */
    private fun startsOf(routers: Int, random: Random): List<Long> = (0 until routers).flatMap { position ->
        val allowance = SlidingWindowLimiter(ONE_START_MS)
        (0L..6_000L step 50).filter { random.nextBoolean() }.map { it + random.nextLong(50) }.filter { nowMs ->
            val due = turns.mayStart(position, routers, nowMs) && allowance.allows(1, nowMs)
            if (due) allowance.onEvent(nowMs)
            due
        }
    }.sorted()
}
