package corneltrack.router.relay

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.placement.LoadSummary
import corneltrack.policy.placement.PromptSegment
import corneltrack.policy.placement.promptSegments
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

    @Test
    fun `a prefix that a peer saw cached counts until the endpoint restarts`() {
        val segments = promptSegments(listOf(1, 2), listOf(1_000, 10))

        prefixDigest("a", startedAtMs = 1, segments.first().prefixHash)
        assertEquals(1_000, cachedTokens("a", startedAtMs = 1, segments))
        assertEquals(0, cachedTokens("b", startedAtMs = 1, segments))

        assertEquals(0, cachedTokens("a", startedAtMs = 2, segments))
    }

    @Test
    fun `what an earlier incarnation of an endpoint had cached is ignored`() {
        val segments = promptSegments(listOf(1, 2), listOf(1_000, 10))

        prefixDigest("a", startedAtMs = 0, segments.first().prefixHash)
        prefixDigest("unknown", startedAtMs = 1, segments.first().prefixHash)

        assertEquals(0, cachedTokens("a", startedAtMs = 1, segments))
    }

    private fun prefixDigest(endpoint: String, startedAtMs: Long, prefixHash: Long) {
        val digest = EndpointDigest(0, 0, 0, startedAtMs, listOf(prefixHash))
        peerLoads.onDigest(InstanceId("one"), PeerDigest("one", mapOf(endpoint to digest)), nowMs = 0)
    }

    private fun cachedTokens(endpoint: String, startedAtMs: Long, segments: List<PromptSegment>): Int =
        load.states.of(knownEndpoint(endpoint, startedAtMs)).prefixes.cachedTokens(segments, 0, 1_000)

    private fun digest(peer: String, vararg prefillTokens: Pair<String, Long>) {
        val endpoints = prefillTokens.associate { (endpoint, tokens) -> endpoint to EndpointDigest(tokens, 1, 0) }
        peerLoads.onDigest(InstanceId(peer), PeerDigest(peer, endpoints), nowMs = 0)
    }

    private fun knownEndpoint(name: String, startedAtMs: Long = 1): KnownEndpoint {
        val endpoint = Endpoint(EndpointId(name), PoolId("pool"), DataCentreId("here"), "127.0.0.1:1", MemberState.LIVE)
        val entry = EndpointEntry(endpoint, startedAtMs, sequence = 1, concurrency = 4, coldStartRemainingMs = 0)
        return KnownEndpoint(entry, coldUntilMs = Long.MIN_VALUE)
    }
}
