package corneltrack.router.relay

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.placement.Generation
import corneltrack.wire.wireProtobuf
import corneltrack.world.DataCentreId
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.MemberState
import corneltrack.world.PoolId
import corneltrack.world.routing.EndpointEntry
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val NOW_MS = 10_000L

class PaceDigestsTest {
    private val load = FleetLoad()
    private val peerLoads = PeerLoads(load)
    private val peer = InstanceId("peer")
    private val slow = SpeedsDigest(0.05f, 12, 25f, 50)

    /** The fields of a digest before those of pace were added. */
    @Serializable
    private data class EarlierEndpointDigest(
        val pendingPrefillTokens: Long,
        val running: Int,
        val kvCacheTokens: Long,
        val startedAtMs: Long = 0,
    )

    @Test
    fun `a router that has just started knows from one digest how fast endpoints are`() {
        val service = state("a")
        val engine = state("b")

        digest("a", service = ServiceDigest(3, 2.5f, 40, 60f, 20))
        digest("b", speeds = slow)

        assertEquals(60.0, assertNotNull(service.service.paced.serviceTimeMs), 0.01)
        assertEquals(45, service.service.paced.pace.ageMs(NOW_MS + 5))
        assertEquals(0.05, engine.engine.prefillMsPerToken, 1e-6)
        assertEquals(25.0, engine.engine.decodeMsPerToken, 1e-6)
    }

    @Test
    fun `an endpoint that restarts under its id starts anew and digests about its earlier run are ignored`() {
        state("a")
        digest("a", service = ServiceDigest(3, 2.5f, 40, 60f, 20), speeds = slow)

        val restarted = state("a", startedAtMs = 2)
        digest("a", service = ServiceDigest(3, 2.5f, 40, 60f, 20), speeds = slow)

        assertNull(restarted.service.paced.serviceTimeMs)
        assertNull(restarted.service.paced.pace.ageMs(NOW_MS))
        assertNotEquals(0.05, restarted.engine.prefillMsPerToken, 1e-6)
    }

    @Test
    fun `an old or impossible report in a digest is ignored`() {
        val state = state("a")

        digest("a", service = ServiceDigest(3, 2.5f, 1_001, 60f, 20))
        digest("a", service = ServiceDigest(3, Float.NaN, 10, 60f, 20))
        digest("a", service = ServiceDigest(3, 1f, 10, Float.POSITIVE_INFINITY, 20))
        digest("a", speeds = SpeedsDigest(-1f, 12, 25f, 50))

        assertNull(state.service.paced.pace.ageMs(NOW_MS))
        assertTrue(!state.pool.speeds.shared)
    }

    @Test
    fun `what an endpoint without a pace states is not told to peers`() {
        val state = state("a")
        state.onStatedLoad(StatedLoad(1, 0, 6), NOW_MS)
        state.service.paced.onResponse(40)
        respondAsEngine(state)

        assertNull(state.serviceDigest(NOW_MS))
        assertNull(state.speedsDigest())
    }

    @Test
    fun `what an endpoint with a pace states is told with its age until it is old`() {
        val state = state("a")
        state.onStatedLoad(StatedLoad(1, 0, 6, pace = 2.0), NOW_MS)
        state.service.paced.onResponse(80)
        respondAsEngine(state)

        val expected = ServiceDigest(1, 2f, 300, 40f, 1)
        assertEquals(expected, state.serviceDigest(NOW_MS + 300))
        assertNull(state.serviceDigest(NOW_MS + 1_001))
        assertEquals(1, assertNotNull(state.speedsDigest()).prefillSamples)
    }

    @Test
    fun `routers of earlier versions read the digest and their digests are read`() {
        val bytes = wireProtobuf.encodeToByteArray(EndpointDigest(1, 2, 3, 4, service = null, speeds = slow))
        val earlier = EarlierEndpointDigest(1, 2, 3, 4)

        assertEquals(earlier, wireProtobuf.decodeFromByteArray<EarlierEndpointDigest>(bytes))
        val read = wireProtobuf.decodeFromByteArray<EndpointDigest>(wireProtobuf.encodeToByteArray(earlier))
        assertEquals(EndpointDigest(1, 2, 3, 4), read)
    }

    @Test
    fun `the load of 300 engines and the speeds of some fit into one datagram`() {
        repeat(300) { index ->
            val state = state("engine-pool-a-$index", startedAtMs = 1_700_000_000_000 + index)
            state.onStatedLoad(StatedLoad(1, 0, 6, pace = 1.0), NOW_MS)
            respondAsEngine(state)
            state.engine.onSent(Generation(emptyList(), 12_000, 400), 12_000, NOW_MS)
        }

        val endpoints = load.states.digests(RecipientGroup(emptyList(), 1), NOW_MS)
        val bytes = wireProtobuf.encodeToByteArray(PeerDigest("router", endpoints)).size

        assertEquals(300, endpoints.size)
        assertTrue(endpoints.values.any { it.speeds != null })
        assertTrue(bytes <= 16_384, "the digest takes $bytes bytes")
    }

    private fun respondAsEngine(state: EndpointState) {
        val request = state.engine.onSent(Generation(emptyList(), 5_000, 10), 5_000, NOW_MS)
        state.engine.onFirstEvent(request, 125.0)
        state.engine.onEnd(request)
    }

    private fun digest(endpoint: String, service: ServiceDigest? = null, speeds: SpeedsDigest? = null) {
        val digest = EndpointDigest(0, 0, 0, startedAtMs = 1, service = service, speeds = speeds)
        peerLoads.onDigest(peer, PeerDigest("peer", mapOf(endpoint to digest)), NOW_MS)
    }

    private fun state(name: String, startedAtMs: Long = 1): EndpointState {
        val endpoint = Endpoint(EndpointId(name), PoolId("pool"), DataCentreId("here"), "127.0.0.1:1", MemberState.LIVE)
        val entry = EndpointEntry(endpoint, startedAtMs, sequence = 1, concurrency = 4, coldStartRemainingMs = 0)
        return load.states.of(KnownEndpoint(entry, coldUntilMs = Long.MIN_VALUE))
    }
}
