package corneltrack.policy.placement

import kotlin.test.Test
import kotlin.test.assertTrue

/** The share of the prompt tokens that may be prefilled again although an engine had them, as the project's target. */
private const val MAXIMUM_READ_AGAIN_SHARE = 0.1

/** The share of callers by which two plays may differ because the same requests are placed elsewhere. */
private const val CHANCE_SHARE = 0.02

/**
 * Plays loads of long shared prefixes against model engines and checks what callers get.
 *
 * The heavy load asks for nearly what the engines can process if no prefix is processed twice.
 */
class PlacementUnderLoadTest {
    private val heavy = FleetLoadPlan()
    private val seeds = 1..3

    @Test
    fun `with copies shared prefixes make up less than a tenth of the tokens processed again`() {
        seeds.map { play(heavy, it) }.forEach {
            assertTrue(it.readAgainShare < MAXIMUM_READ_AGAIN_SHARE, "processed again: ${it.readAgainShare}, $it")
        }
    }

    @Test
    fun `copies let more callers get their first event in time where caches hold few prefixes`() {
        val scarce = heavy.copy(cacheTokens = 200_000, requestsPerSecond = 80.0)
        seeds.forEach { seed ->
            val copying = play(scarce, seed)
            val reading = play(scarce.copy(transferMsPerToken = null), seed)

            assertTrue(copying.inTime > reading.inTime, "with copies $copying, without $reading")
        }
    }

    @Test
    fun `routers that tell each other who has a prefix serve more callers in time than silent ones`() {
        seeds.forEach { seed ->
            val told = play(heavy, seed)
            val silent = play(heavy.copy(sharesPrefixes = false), seed)

            assertTrue(told.inTime > silent.inTime, "told $told, silent $silent")
        }
    }

    @Test
    fun `where copies never arrive callers get about what they get without copies`() {
        seeds.forEach { seed ->
            val failing = play(heavy.copy(copyFails = true), seed)
            val reading = play(heavy.copy(transferMsPerToken = null), seed)

            assertTrue(failing.inTimeShare > reading.inTimeShare - 0.1, "failing $failing, without copies $reading")
        }
    }

    @Test
    fun `engines that lose their caches unnoticed cost callers no more than they would without copies`() {
        assertNoWorseThanWithoutCopies(heavy.copy(enginesLosingCaches = 4))
    }

    @Test
    fun `routers cut off from the others cost callers no more than they would without copies`() {
        assertNoWorseThanWithoutCopies(heavy.copy(cutRouters = 3))
    }

    @Test
    fun `routers that were paused cost callers no more than they would without copies`() {
        assertNoWorseThanWithoutCopies(heavy.copy(pausedRouters = 3))
    }

    private fun assertNoWorseThanWithoutCopies(plan: FleetLoadPlan) = seeds.forEach { seed ->
        val copying = play(plan, seed)
        val reading = play(plan.copy(transferMsPerToken = null), seed)

        val byChance = copying.asked * CHANCE_SHARE
        assertTrue(copying.inTime >= reading.inTime - byChance, "with copies $copying, without $reading, $plan")
    }

    private fun play(plan: FleetLoadPlan, seed: Int) = EngineFleetModel(plan.copy(seed = seed)).play()
}
