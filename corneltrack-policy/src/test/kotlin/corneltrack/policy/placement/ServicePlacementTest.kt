package corneltrack.policy.placement

import corneltrack.world.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ServicePlacementTest {
    private val near = candidate("near", 1.0)
    private val far = candidate("far", 125.0)

    @Test
    fun `the near endpoint is taken while it has places`() {
        repeat(3) { near.load.onSent() }

        assertEquals("near", chosen(1_000.0))
    }

    @Test
    fun `the far endpoint is taken once the near one's queue is longer than the way`() {
        repeat(30) { near.load.onSent() }

        assertEquals("far", chosen(1_000.0))
    }

    @Test
    fun `what the endpoint says of others' requests counts for a while`() {
        near.load.onReport(30, 0)

        assertEquals("far", chosen(1_000.0, nowMs = 500))
        assertEquals("near", chosen(1_000.0, nowMs = 1_500))
    }

    @Test
    fun `a request that no endpoint can answer in time is refused at once`() {
        repeat(60) { near.load.onSent() }

        assertIs<ServiceDecision.Refused>(placeServiceRequest(listOf(near), 300.0, 0))
        assertIs<ServiceDecision.Refused>(placeServiceRequest(emptyList(), 300.0, 0))
    }

    private fun candidate(name: String, networkDelayMs: Double) =
        ServiceCandidate(EndpointId(name), ServiceLoad(), 6, networkDelayMs)

    private fun chosen(limitMs: Double, nowMs: Long = 0): String =
        assertIs<ServiceDecision.Chosen>(placeServiceRequest(listOf(near, far), limitMs, nowMs)).candidate.id.value
}
