package corneltrack.router.relay

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.placement.LoadSummary
import corneltrack.world.DataCentreId
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.MemberState
import corneltrack.world.PoolId
import corneltrack.world.routing.EndpointEntry
import kotlin.test.Test
import kotlin.test.assertEquals

class PeerLoadsTest {
    private val load = FleetLoad()
    private val peerLoads = PeerLoads(load)
    private val engines = listOf("a", "b").associateWith { load.states.of(knownEndpoint(it)).engine }

    @Test
    fun `an endpoint missing from the next digest of a peer has no load of that peer left`() {
        digest("one", "a" to 100L, "b" to 10L)
        digest("two", "a" to 7L)

        digest("one", "b" to 20L)

        assertEquals(LoadSummary(7, 1, 0), engines.getValue("a").total(0))
        assertEquals(LoadSummary(20, 1, 0), engines.getValue("b").total(0))
    }

    @Test
    fun `an unknown endpoint in a digest is ignored`() {
        digest("one", "unknown" to 100L, "a" to 1L)

        assertEquals(LoadSummary(1, 1, 0), engines.getValue("a").total(0))
    }

    private fun digest(peer: String, vararg prefillTokens: Pair<String, Long>) {
        val endpoints = prefillTokens.associate { (endpoint, tokens) -> endpoint to EndpointDigest(tokens, 1, 0) }
        peerLoads.onDigest(InstanceId(peer), PeerDigest(peer, endpoints), nowMs = 0)
    }

    private fun knownEndpoint(name: String): KnownEndpoint {
        val endpoint = Endpoint(EndpointId(name), PoolId("pool"), DataCentreId("here"), "127.0.0.1:1", MemberState.LIVE)
        return KnownEndpoint(EndpointEntry(endpoint, 1, 1, concurrency = 4, coldStartRemainingMs = 0), Long.MIN_VALUE)
    }
}
