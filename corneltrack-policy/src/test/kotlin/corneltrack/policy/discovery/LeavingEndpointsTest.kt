package corneltrack.policy.discovery

import corneltrack.world.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

private val ENDPOINT = EndpointId("a")

class LeavingEndpointsTest {
    private val learned = ArrayList<String>()
    private val endpoints = LeavingEndpoints { endpoint, source, ageMs ->
        learned += "${endpoint.value} $source $ageMs"
    }

    @Test
    fun `an endpoint leaves until a later incarnation takes its place`() {
        endpoints.onResponse(ENDPOINT, startedAtMs = 5, nowMs = 100)

        assertTrue(endpoints.isLeaving(ENDPOINT, startedAtMs = 5))
        assertTrue(endpoints.isLeaving(ENDPOINT, startedAtMs = 4), "an older entry of the list")
        assertFalse(endpoints.isLeaving(ENDPOINT, startedAtMs = 6), "the next incarnation")
        assertFalse(endpoints.isLeaving(EndpointId("b"), startedAtMs = 5), "another endpoint")
    }

    @Test
    fun `late responses of an incarnation do not make the next one leave`() {
        endpoints.onResponse(ENDPOINT, startedAtMs = 6, nowMs = 100)
        endpoints.onResponse(ENDPOINT, startedAtMs = 5, nowMs = 200)

        assertTrue(endpoints.isLeaving(ENDPOINT, startedAtMs = 6))
        assertFalse(endpoints.isLeaving(ENDPOINT, startedAtMs = 7))
    }

    @Test
    fun `it is learned once of each incarnation, from whoever tells first`() {
        endpoints.onPeer(ENDPOINT, startedAtMs = 5, ageMs = 30)
        endpoints.onPeer(ENDPOINT, startedAtMs = 5, ageMs = 130)
        endpoints.onResponse(ENDPOINT, startedAtMs = 5, nowMs = 300)
        endpoints.onResponse(ENDPOINT, startedAtMs = 6, nowMs = 400)

        assertEquals(listOf("a PEER 30", "a RESPONSE 0"), learned)
    }

    @Test
    fun `only what responses to this router said is told to peers, while it is recent`() {
        endpoints.onPeer(ENDPOINT, startedAtMs = 5, ageMs = 30)
        assertNull(endpoints.recentResponseAgeMs(ENDPOINT, 5, nowMs = 100, maximumAgeMs = 1_000))

        endpoints.onResponse(ENDPOINT, startedAtMs = 5, nowMs = 200)
        endpoints.onPeer(ENDPOINT, startedAtMs = 5, ageMs = 30)
        assertEquals(1_000, endpoints.recentResponseAgeMs(ENDPOINT, 5, nowMs = 1_200, maximumAgeMs = 1_000))
        assertNull(endpoints.recentResponseAgeMs(ENDPOINT, 5, nowMs = 1_201, maximumAgeMs = 1_000))
    }

    @Test
    fun `however many endpoints leave, a bounded number is remembered`() {
        repeat(2_000) { endpoints.onPeer(EndpointId("$it"), startedAtMs = 1, ageMs = 0) }

        assertFalse(endpoints.isLeaving(EndpointId("0"), startedAtMs = 1))
        assertTrue(endpoints.isLeaving(EndpointId("1999"), startedAtMs = 1))
    }
}
