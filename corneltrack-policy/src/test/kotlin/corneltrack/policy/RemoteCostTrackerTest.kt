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
    fun `a silent cell is assumed to serve on at its last rate until it reports what it really served`() {
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
    fun `what was served while nothing was heard is added when the cell reports again`() {
        report(total = 0, atMs = 0)
        report(total = 500, atMs = 3_600_000)
        assertEquals(500.0, service.of(workspace))
    }

    @Test
    fun `another allocator of the cell begins a new count and ends the assumption`() {
        report(total = 0, atMs = 0)
        report(total = 1_000, atMs = 1_000)
        report(total = 70, atMs = 2_000, origin = "b")
        report(total = 90, atMs = 3_000, origin = "b")
        assertEquals(1_020.0, service.of(workspace))
    }

    private fun report(total: Long, atMs: Long, origin: String = "a") =
        service.chargeRemote(cell, origin, mapOf(workspace to total), atMs)
}
