package corneltrack.policy.placement

import corneltrack.world.EndpointId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ServicePlacementTest {
    private class RunningRequest(val candidate: ServiceCandidate, val sentMs: Long, val endMs: Long) {
        fun end() {
            candidate.load.onEnd()
            candidate.load.onResponse(endMs - sentMs)
        }
    }

    private val near = candidate("near", 1.0)
    private val far = candidate("far", 125.0)

    @Test
    fun `the near endpoint is chosen while it runs fewer requests than it can`() {
        repeat(3) { near.load.onSent() }

        assertEquals("near", chosen(1_000.0))
    }

    @Test
    fun `the far endpoint is chosen once the queueing delay of the near one exceeds the network delay`() {
        repeat(30) { near.load.onSent() }

        assertEquals("far", chosen(1_000.0))
    }

    @Test
    fun `the reported requests of other routers count until the report expires`() {
        near.load.onReport(30, 0)

        assertEquals("far", chosen(1_000.0, nowMs = 500))
        assertEquals("near", chosen(1_000.0, nowMs = 1_500))
    }

    @Test
    fun `a request that no endpoint can serve in time is refused`() {
        repeat(60) { near.load.onSent() }

        assertIs<ServiceDecision.Refused>(placeServiceRequest(listOf(near), 300.0, 0) { 0.5 })
        assertIs<ServiceDecision.Refused>(placeServiceRequest(emptyList(), 300.0, 0) { 0.5 })
    }

    @Test
    fun `endpoints that are all known and state no pace are chosen as before whatever the random numbers`() {
        val random = Random(1)
        repeat(500) {
            val candidates = List(5) { knownCandidate("$it", random) }
            val expected = candidates.minBy {
                val rounds = (it.load.outstanding(0) + 1.0) / it.concurrency
                it.networkDelayMs + it.load.serviceTimeMs * maxOf(1.0, rounds) + it.load.outstanding(0)
            }

            val decision = placeServiceRequest(candidates, 10_000.0, 0, random = random::nextDouble)

            assertEquals(expected.id, assertIs<ServiceDecision.Chosen>(decision).candidate.id)
        }
    }

    @Test
    fun `six endpoints that join six known ones get requests where all are faster than 40 ms`() {
        val random = Random(2)
        val known = List(6) { candidate("known-$it", 1.0) }
        known.forEach { candidate -> repeat(50) { candidate.load.onResponse(20 + random.nextLong(10)) } }
        val joined = List(6) { candidate("joined-$it", 1.0) }

        val running = ArrayList<RunningRequest>()
        val chosen = (1..8_000).map { request ->
            val nowMs = request * 12_000L / 8_000
            running.filter { it.endMs <= nowMs }.forEach { it.end() }
            running.removeIf { it.endMs <= nowMs }
            val decision = placeServiceRequest(known + joined, 300.0, nowMs, random = random::nextDouble)
            val candidate = assertIs<ServiceDecision.Chosen>(decision).candidate
            candidate.load.onSent()
            running += RunningRequest(candidate, nowMs, nowMs + 20 + random.nextLong(10))
            candidate
        }

        joined.forEach { candidate ->
            val count = chosen.count { it === candidate }
            assertTrue(count >= 100, "${candidate.id} got $count of 8,000 requests")
        }
    }

    @Test
    fun `an unknown endpoint that hangs gets one explored request and no more`() {
        repeat(50) { near.load.onResponse(20) }
        val hanging = candidate("hanging", 1.0)

        val decisions = (1..1_000).map {
            placeServiceRequest(listOf(near, hanging), 300.0, 0) { 0.0 }.also { decision ->
                if ((decision as ServiceDecision.Chosen).candidate === hanging) hanging.load.onSent()
            }
        }

        assertEquals(1, decisions.count { (it as ServiceDecision.Chosen).explored })
    }

    @Test
    fun `no endpoint is explored that is slower by its network delay alone`() {
        repeat(50) { near.load.onResponse(20) }

        repeat(100) { assertEquals("near", chosen(1_000.0, random = { 0.0 })) }
    }

    private fun knownCandidate(name: String, random: Random) =
        ServiceCandidate(EndpointId(name), ServiceLoad(), 1 + random.nextInt(8), random.nextDouble(130.0)).also {
            repeat(4 + random.nextInt(40)) { _ -> it.load.onResponse(random.nextLong(200)) }
            repeat(random.nextInt(20)) { _ -> it.load.onSent() }
            it.load.onReport(random.nextInt(40), 0)
        }

    private fun candidate(name: String, networkDelayMs: Double) =
        ServiceCandidate(EndpointId(name), ServiceLoad(), 6, networkDelayMs)

    private fun chosen(limitMs: Double, nowMs: Long = 0, random: () -> Double = { 0.5 }): String {
        val decision = placeServiceRequest(listOf(near, far), limitMs, nowMs, random = random)
        return assertIs<ServiceDecision.Chosen>(decision).candidate.id.value
    }
}
