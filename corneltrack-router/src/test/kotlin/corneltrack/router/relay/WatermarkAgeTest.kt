package corneltrack.router.relay

import corneltrack.policy.discovery.StampEcho
import corneltrack.policy.discovery.TopicWatermark
import corneltrack.wire.wireProtobuf
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlin.test.Test
import kotlin.test.assertEquals

private const val SLOW_ROUTER = 2
private const val CHANGES = 100
private const val CHANGE_INTERVAL_MS = 370L

/** A router that gets its peers' watermarks late; the simulation checks the ages that all routers state. */
class WatermarkAgeTest {
    // The wall clock of the peer hides how long its watermarks were under way.
    @Test
    fun `a router whose datagrams are late states no age below the true one though its peer's clock is ahead`() =
        listOf(false, true).forEach { shares -> run(count = if (shares) 12 else 3, shares, aheadMs = 3_000) }

    @Test
    fun `neither does it if the clocks agree`() =
        listOf(false, true).forEach { shares -> run(count = if (shares) 12 else 3, shares, aheadMs = 0) }

    // A router that has just started gets echoes of its former process, which prove nothing.
    @Test
    fun `neither does it while routers restart and datagrams are lost`() = (1..10).forEach { seed ->
        val region = RegionSimulation(12, shares = true, UNRELIABLE.copy(slowRouter = SLOW_ROUTER), seed = seed)
        region.routers.forEach { region.wallClocksAheadMs[it.index] = (12 - it.index) * 1_000L }
        repeat(CHANGES) {
            region.change("endpoint-${it % 3}", "state-$it")
            if (it % 10 == 0) region.restart(it / 10)
            region.advance(CHANGE_INTERVAL_MS)
        }
    }

    // During a replacement the ages of the old version count as before: right where the clocks agree.
    @Test
    fun `routers that return stamps and routers that don't understand each other`() = listOf(0, 1, 2).forEach { old ->
        val region = RegionSimulation(3, shares = false)
        region.oldRouters += old
        region.advance(2_000)
        region.calls.clear()
        repeat(CHANGES) {
            region.change("endpoint-${it % 3}", "state-$it")
            region.advance(CHANGE_INTERVAL_MS)
        }
        region.advance(2_000)

        region.assertConverged()
        assertEquals(0, region.calls.filterKeys { it.cause == "TAKEOVER" }.values.sum(), "takeovers, old is $old")
    }

    @Test
    fun `a digest with an echo reads as if it had been encoded with it`() {
        val digest = PeerDigest("router", watermarks = mapOf("operator" to TopicWatermark(5, 4, 30, 2)))

        val echoed = wireProtobuf.encodeToByteArray(digest).withEcho(StampEcho(7, 50))

        assertEquals(digest.copy(echo = StampEcho(7, 50)), wireProtobuf.decodeFromByteArray<PeerDigest>(echoed))
        val none = wireProtobuf.encodeToByteArray(digest).withEcho(StampEcho())
        assertEquals(StampEcho(), wireProtobuf.decodeFromByteArray<PeerDigest>(none).echo)
    }

    private fun run(count: Int, shares: Boolean, aheadMs: Long) {
        val region = RegionSimulation(count, shares, Network(slowRouter = SLOW_ROUTER))
        region.wallClocksAheadMs[0] = aheadMs
        region.advance(2_000)
        repeat(CHANGES) {
            region.change("endpoint-${it % 3}", "state-$it")
            region.advance(CHANGE_INTERVAL_MS)
        }
    }
}
