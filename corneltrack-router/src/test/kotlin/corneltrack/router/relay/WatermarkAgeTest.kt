package corneltrack.router.relay

import kotlin.test.Test

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
