package corneltrack.policy.streams

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.world.DataCentreId
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.MemberState
import corneltrack.world.PoolId
import corneltrack.world.routing.EndpointEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val MORE_THAN_KEPT = 20_001L
private val POOL = PoolId("engines")

class StreamOriginsTest {
    private val origins = StreamOrigins()
    private val versions = RecentVersions()

    @Test
    fun `a stream is remembered until nobody can take it up`() {
        origins.record(StreamKey(1), StreamOrigin(POOL, "old", expiresMs = 1_000))
        origins.expire(999)
        assertEquals("old", origins[StreamKey(1)]?.version)

        origins.expire(1_000)

        assertNull(origins[StreamKey(1)])
    }

    @Test
    fun `a delivered stream is remembered for a short time only`() {
        origins.record(StreamKey(1), StreamOrigin(POOL, "old", expiresMs = 60_000))

        origins.onDelivered(StreamKey(1), nowMs = 1_000)
        origins.expire(2_999)
        assertEquals("old", origins[StreamKey(1)]?.version)
        origins.expire(3_000)

        assertNull(origins[StreamKey(1)])
    }

    // Guards against callers that fill the memory with identifiers of their choice.
    @Test
    fun `the streams recorded first are forgotten for one too many`() {
        (1..MORE_THAN_KEPT).forEach { origins.record(StreamKey(it), StreamOrigin(POOL, "old", expiresMs = 1_000)) }

        assertNull(origins[StreamKey(1)])
        assertEquals("old", origins[StreamKey(2)]?.version)
        assertEquals(MORE_THAN_KEPT.toInt() - 1, origins.all.size)
    }

    @Test
    fun `a pool is mixed until no stream of the version that left can be taken up`() {
        versions.observe(listOf(endpoint("a", "old")), nowMs = 0)
        assertTrue(versions.mixedPools(0).isEmpty())

        versions.observe(listOf(endpoint("a", "old"), endpoint("b", "new")), nowMs = 1_000)
        versions.observe(listOf(endpoint("b", "new")), nowMs = 2_000)

        assertEquals(mapOf(POOL to MAXIMUM_STREAM_AGE_MS - 1_000), versions.mixedPools(2_000))
        versions.observe(listOf(endpoint("b", "new")), nowMs = 1_000 + MAXIMUM_STREAM_AGE_MS)
        assertTrue(versions.mixedPools(1_000 + MAXIMUM_STREAM_AGE_MS).isEmpty())
    }

    private fun endpoint(name: String, version: String): KnownEndpoint {
        val endpoint = Endpoint(EndpointId(name), POOL, DataCentreId("here"), "127.0.0.1:1", MemberState.LIVE)
        return KnownEndpoint(EndpointEntry(endpoint, 1, 1, 4, coldStartRemainingMs = 0, version), Long.MIN_VALUE)
    }
}
