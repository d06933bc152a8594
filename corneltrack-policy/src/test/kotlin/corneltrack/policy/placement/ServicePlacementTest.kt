package corneltrack.policy.placement

import corneltrack.world.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ServicePlacementTest {
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

        assertIs<ServiceDecision.Refused>(placeServiceRequest(listOf(near), 300.0, 0))
        assertIs<ServiceDecision.Refused>(placeServiceRequest(emptyList(), 300.0, 0))
    }

    private fun candidate(name: String, networkDelayMs: Double) =
        ServiceCandidate(EndpointId(name), ServiceLoad(), 6, networkDelayMs)

    private fun chosen(limitMs: Double, nowMs: Long = 0): String =
        assertIs<ServiceDecision.Chosen>(placeServiceRequest(listOf(near, far), limitMs, nowMs)).candidate.id.value
}
