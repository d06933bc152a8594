package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.DataCentreId
import corneltrack.world.PoolId
import corneltrack.world.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals

class RemoteCostTrackerTest {
    private val cell = Cell(PoolId("p"), DataCentreId("far"))
    private val workspace = WorkspaceId("w")
    private val service = VirtualService { 1.0 }

    @Test
    fun `the cost of an unresponsive cell is extrapolated from its last rate until its next report`() {
        report(total = 0, atMs = 0)
        report(total = 1_000, atMs = 1_000)
        service.extrapolateRemote(4_999)
        assertEquals(1_000.0, service.of(workspace))
        service.extrapolateRemote(6_000)
        service.extrapolateRemote(11_000)
        assertEquals(11_000.0, service.of(workspace))
        report(total = 3_000, atMs = 11_000)
        assertEquals(3_000.0, service.of(workspace))
    }

    @Test
    fun `the cost served in a long outage is added with the next report`() {
        report(total = 0, atMs = 0)
        report(total = 500, atMs = 3_600_000)
        assertEquals(500.0, service.of(workspace))
    }

    @Test
    fun `a new allocator of the cell sets a new baseline`() {
        report(total = 0, atMs = 0)
        report(total = 1_000, atMs = 1_000)
        report(total = 70, atMs = 2_000, origin = "b")
        report(total = 90, atMs = 3_000, origin = "b")
        assertEquals(1_020.0, service.of(workspace))
    }

    private fun report(total: Long, atMs: Long, origin: String = "a") =
        service.chargeRemote(cell, origin, mapOf(workspace to total), atMs)
}
