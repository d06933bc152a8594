package corneltrack.policy.placement

import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val STEP_MS = 20L

class PacedLoadTest {
    private val pool = PoolReports()
    private val load = ServiceLoad(pool)
    private val peer = InstanceId("peer")

    @Test
    fun `the service time does not depend on the pace and the queue of its samples`() {
        repeat(100) {
            val pace = if (it % 5 == 0) 2.5 else 1.0
            load.paced.onOwnReport(PaceReport(active = 12, pace, it * STEP_MS, slots = 6), running = 0)
            load.paced.onResponse((40 * pace * 2).toLong())
        }

        assertEquals(40.0, load.paced.serviceTimeMs!!, 0.5)
    }

    @Test
    fun `a router that has just started goes by what its peers have learnt`() {
        assertNull(load.paced.serviceTimeMs)

        load.paced.onPeer(peer, PaceReport(0, 1.0, 0), LearntSpeed(70.0, 20), running = 0)
        load.paced.onPeer(InstanceId("other"), PaceReport(0, 1.0, 1), LearntSpeed(30.0, 10), running = 0)

        assertEquals((70.0 * 20 + 30.0 * 10) / 30, load.paced.serviceTimeMs!!, 0.01)
    }

    @Test
    fun `an endpoint that reported a slow pace is avoided until the report is old`() {
        val usual = ServiceCandidate(EndpointId("usual"), load, 6, 1.0)
        val slow = ServiceCandidate(EndpointId("slow"), ServiceLoad(pool), 6, 1.0)
        var nowMs = 0L
        repeat(1_000) {
            nowMs += STEP_MS
            usual.load.paced.onOwnReport(PaceReport(0, 1.0, nowMs), running = 0)
            slow.load.paced.onOwnReport(PaceReport(0, if (it % 200 >= 170) 2.5 else 1.0, nowMs), running = 0)
        }
        listOf(usual, slow).forEach { it.load.paced.onPeer(peer, PaceReport(0, 1.0, 0), LearntSpeed(40.0, 20), 0) }

        assertEquals(0, chosenOfMany(slow, listOf(usual, slow), nowMs))
        assertTrue(slow.load.paced.pace.at(nowMs) > 2, "pace ${slow.load.paced.pace.at(nowMs)} after a report of 2.5")
        assertEquals(slow.load.paced.pace.mean, slow.load.paced.pace.at(nowMs + 1_001))
    }

    @Test
    fun `no endpoint gets more than its part of the routers that choose by the same old reports`() {
        val candidates = List(6) { ServiceCandidate(EndpointId("$it"), ServiceLoad(pool), 6, 1.0) }
        candidates.forEachIndexed { index, candidate ->
            candidate.load.paced.onOwnReport(PaceReport(index, 1.0, 0), running = 0)
            repeat(10) { candidate.load.onResponse(40) }
        }

        assertTrue(chosenOfMany(candidates.first(), candidates, 0) < 450, "more than two fifths chose one endpoint")
    }

    @Test
    fun `an endpoint with an idle connection is preferred only where it is about as fast`() {
        val connected = TimedCandidate(ServiceCandidate(EndpointId("a"), load, 6, 1.0, connected = true), 50.0)
        val other = { timeMs: Double -> TimedCandidate(ServiceCandidate(EndpointId("b"), load, 6, 1.0), timeMs) }

        assertEquals("a", chooseConnectedOfTwo(listOf(other(45.0), connected)) { 0.0 }.candidate.id.value)
        assertEquals("b", chooseConnectedOfTwo(listOf(other(35.0), connected)) { 0.0 }.candidate.id.value)
        assertEquals("a", chooseConnectedOfTwo(listOf(connected)) { 0.99 }.candidate.id.value)
    }

    @Test
    fun `a request is held only while all endpoints are full and this router has its share`() {
        val candidates = List(2) { ServiceCandidate(EndpointId("$it"), ServiceLoad(pool), 2, 1.0) }
        val holds = { routers: Int, waitedMs: Long -> holdsServiceRequest(candidates, routers, waitedMs, 400, 0) }
        repeat(2) { candidates.forEach { candidate -> candidate.load.onSent() } }
        assertFalse(holds(2, 0), "held at endpoints that state no pace")

        candidates.forEach { it.load.paced.onOwnReport(PaceReport(2, 1.0, 0), running = 2) }

        assertTrue(holds(1, 0))
        assertTrue(holds(60, 99))
        assertFalse(holds(60, 100), "held for longer than a quarter of the objective")
        candidates.first().load.onEnd()
        assertFalse(holds(60, 0), "held although an endpoint has room")
    }

    private fun chosenOfMany(wanted: ServiceCandidate, candidates: List<ServiceCandidate>, nowMs: Long): Int {
        val random = kotlin.random.Random(1)
        return (1..1_000).count {
            val decision = placeServiceRequest(candidates, 1_000.0, nowMs, random = random::nextDouble)
            assertIs<ServiceDecision.Chosen>(decision).let { it.candidate === wanted && !it.explored }
        }
    }
}
