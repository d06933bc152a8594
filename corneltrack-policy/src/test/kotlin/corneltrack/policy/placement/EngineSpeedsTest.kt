package corneltrack.policy.placement

import corneltrack.world.InstanceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val TOKENS = 5_000
private const val USUAL_MS_PER_TOKEN = 0.01

class EngineSpeedsTest {
    private val pool = PoolSpeeds()
    private val engines = List(3) { EngineLoad(pool) }
    private val slowdowns = listOf(0.7, 0.7, 1.7)

    @Test
    fun `engines that state no pace learn their speeds alone as before`() {
        val random = Random(1)
        var expected = 0.02
        repeat(50) {
            val sample = 0.005 + random.nextDouble() * 0.1
            respond(engines[0], sample)
            expected += 0.08 * (sample - expected)
        }
        engines[1].onPeerSpeeds(InstanceId("peer"), speeds(0.3, 30.0, 50), nowMs = 0)

        assertEquals(expected, engines[0].prefillMsPerToken, 1e-9)
        assertEquals(0.02, engines[1].prefillMsPerToken)
        assertEquals(10.0, engines[1].decodeMsPerToken)
    }

    @Test
    fun `engines whose speeds differ by 2,4 times are told apart and a new one starts from their mean`() {
        pool.onPaceStated()
        repeat(
            30
        ) { engines.zip(slowdowns).forEach { (engine, factor) -> respond(engine, factor * USUAL_MS_PER_TOKEN) } }

        val ratio = engines[2].prefillMsPerToken / engines[0].prefillMsPerToken
        assertTrue(ratio in 2.0..2.5, "expected a ratio of nearly 2.43, found $ratio")
        val added = EngineLoad(pool)
        assertEquals(slowdowns.average() * USUAL_MS_PER_TOKEN, added.prefillMsPerToken, 1e-4)
    }

    @Test
    fun `a router that has just started goes by its peers in proportion to their samples`() {
        pool.onPaceStated()
        engines[0].onPeerSpeeds(InstanceId("one"), speeds(0.01, 20.0, 12), nowMs = 0)
        engines[0].onPeerSpeeds(InstanceId("two"), speeds(0.04, 5.0, 4), nowMs = 0)

        assertEquals((0.01 * 12 + 0.04 * 4) / 16, engines[0].prefillMsPerToken, 1e-9)
        assertEquals((20.0 * 12 + 5.0 * 4) / 16, engines[0].decodeMsPerToken, 1e-9)
    }

    @Test
    fun `what a peer that is gone had learnt counts for half a minute`() {
        pool.onPaceStated()
        engines[0].onPeerSpeeds(InstanceId("gone"), speeds(0.2, 20.0, 12), nowMs = 0)
        engines[0].onPeerSpeeds(InstanceId("live"), speeds(0.01, 20.0, 12), nowMs = 30_001)

        assertEquals(0.01, engines[0].prefillMsPerToken, 1e-9)
    }

    @Test
    fun `an engine that is gone no longer counts in the mean of its pool`() {
        pool.onPaceStated()
        repeat(
            30
        ) { engines.zip(slowdowns).forEach { (engine, factor) -> respond(engine, factor * USUAL_MS_PER_TOKEN) } }

        engines[2].leavePool()

        assertEquals(0.7 * USUAL_MS_PER_TOKEN, EngineLoad(pool).prefillMsPerToken, 1e-4)
    }

    @Test
    fun `the speeds of engines that only peers have used are told apart`() {
        pool.onPaceStated()
        engines.zip(slowdowns).forEach { (engine, factor) ->
            engine.onPeerSpeeds(InstanceId("peer"), speeds(factor * USUAL_MS_PER_TOKEN, 10.0 * factor, 12), nowMs = 0)
        }

        assertTrue(engines[0].prefillMsPerToken * 2 < engines[2].prefillMsPerToken)
        assertTrue(engines[0].decodeMsPerToken * 2 < engines[2].decodeMsPerToken)
    }

    private fun speeds(prefill: Double, decode: Double, samples: Int) =
        EngineSpeeds(LearntSpeed(prefill, samples), LearntSpeed(decode, samples))

    private fun respond(engine: EngineLoad, msPerToken: Double) {
        val request = engine.onSent(generation(1, 0, TOKENS), TOKENS, 0)
        engine.onFirstEvent(request, FIRST_EVENT_OVERHEAD_MS + TOKENS * msPerToken)
        engine.onEnd(request)
    }
}
