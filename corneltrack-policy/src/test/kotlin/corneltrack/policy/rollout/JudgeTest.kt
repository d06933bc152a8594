package corneltrack.policy.rollout

import corneltrack.world.InstanceId
import corneltrack.world.PoolId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class JudgeTest {
    private val order = RolloutOrder(PoolId("p"), "v2", durationMs = 12_000, orderId = 7)
    private val random = Random(3)

    /**
     * A pool of [trials] trial responses and twelve times as many others, over the first 8 s of the order, a fifth of
     * them on a route that fails at [baselineFailing].
     */
    private fun evidence(
        trials: Int,
        baselineFailing: Double = 0.0,
        failing: (Long) -> Double = { 0.0 },
        slower: Double = 1.0,
    ): RolloutEvidence {
        val evidence = RolloutEvidence(order, InstanceId("a"), 1, orderedAtMs = 0)
        repeat(trials) { trial ->
            val nowMs = trial * 8_000L / trials
            val route = if (trial % 5 == 0) "r" else "s"
            val usual = if (trial % 5 == 0) baselineFailing else 0.0
            repeat(12) { evidence.onResponse(response("v1", route, usual, 1.0), nowMs) }
            evidence.onResponse(response("v2", route, usual + failing(nowMs), slower), nowMs)
        }
        return evidence
    }

    private fun response(version: String, route: String, failing: Double, slower: Double): RolloutResponse {
        val failed = random.nextDouble() < failing
        return RolloutResponse(version, route, failed, (slower * random.ratio(0.3)).takeUnless { failed })
    }

    private fun judge(evidence: RolloutEvidence, lastCall: Boolean = true) =
        judge(evidence, RolloutBounds(), lastCall)

    @Test
    fun `nothing is known without responses`() {
        assertEquals(Verdict.Undecided, judge(evidence(0)))
        assertEquals(Verdict.Undecided, judge(evidence(5)))
    }

    @Test
    fun `a version as good as the baseline is good at the last call only`() {
        assertEquals(Verdict.Good, judge(evidence(400)))
        assertEquals(Verdict.Undecided, judge(evidence(400), lastCall = false))
    }

    @Test
    fun `a route that fails 14 of 100 anyway does not make a version bad`() {
        repeat(20) { assertEquals(Verdict.Good, judge(evidence(600, baselineFailing = 0.14))) }
    }

    @Test
    fun `a version that fails more often than the baseline is bad before fifty bad responses`() {
        assertEquals(Verdict.Bad(BadReason.FAILURES, "s"), judge(evidence(40, failing = { 0.6 }), lastCall = false))
        assertIs<Verdict.Bad>(judge(evidence(150, failing = { 0.2 }), lastCall = false))
    }

    @Test
    fun `a version that is three times slower is bad`() {
        val verdict = judge(evidence(40, slower = 3.0), lastCall = false)
        assertEquals(Verdict.Bad(BadReason.SLOW_FIRST_EVENTS, "s"), verdict)
    }

    @Test
    fun `a version that is a fifth slower is not bad`() {
        assertEquals(Verdict.Good, judge(evidence(600, slower = 1.2)))
    }

    /** Its good responses before would outweigh the failures in one test over all of them. */
    @Test
    fun `a version that turns bad after half of the time is bad`() {
        assertIs<Verdict.Bad>(judge(evidence(500, failing = { if (it < 6_000) 0.0 else 0.3 }), lastCall = false))
    }

    @Test
    fun `scarce evidence suffices at the last call unless a response speaks against the version`() {
        assertEquals(Verdict.Good, judge(evidence(25)))
        assertEquals(Verdict.Undecided, judge(evidence(8)))
        val withFailures = evidence(25)
        repeat(2) { withFailures.onResponse(RolloutResponse("v2", "s", failed = true, null), nowMs = 7_000) }
        assertTrue(judge(withFailures) != Verdict.Good)
    }

    /** A router that cannot tell the times yet must not let a slow version pass. */
    @Test
    fun `responses without times do not make a version good`() {
        val evidence = RolloutEvidence(order, InstanceId("a"), 1, orderedAtMs = 0)
        repeat(400) {
            repeat(12) { evidence.onResponse(RolloutResponse("v1", "r", failed = false, null), nowMs = 7_000) }
            evidence.onResponse(RolloutResponse("v2", "r", failed = false, null), nowMs = 7_000)
        }
        assertEquals(Verdict.Undecided, judge(evidence))
    }

    @Test
    fun `an expected time that is wrong for both versions does not matter`() {
        for (factor in listOf(0.05, 20.0)) {
            val evidence = RolloutEvidence(order, InstanceId("a"), 1, orderedAtMs = 0)
            repeat(1_000) {
                val version = if (it % 12 == 0) "v2" else "v1"
                val slower = if (version == "v2") 3.0 else 1.0
                evidence.onResponse(RolloutResponse(version, "r", false, factor * slower * random.ratio(0.3)), 7_000)
            }
            assertEquals(Verdict.Bad(BadReason.SLOW_FIRST_EVENTS, "r"), judge(evidence))
        }
    }
}
