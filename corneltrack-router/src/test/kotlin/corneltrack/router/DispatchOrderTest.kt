package corneltrack.router

import corneltrack.world.Cell
import corneltrack.world.DataCentreId
import corneltrack.world.PoolId
import corneltrack.world.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals

class DispatchOrderTest {
    private val cell = Cell(PoolId("p"), DataCentreId("d"))
    private val one = WorkspaceId("one")
    private val two = WorkspaceId("two")
    private val servedCosts = ServedCostCounter()
    private val order = DispatchOrder(servedCosts) { 1.0 }

    @Test
    fun `the workspace with the lowest virtual service across the fleet comes first`() {
        order.onGrant(mapOf(one to 10L, two to 5L), emptySet())
        assertEquals(listOf(two, one), sorted(nowMs = 0))
        servedCosts.add(cell, two, 6)
        assertEquals(listOf(one, two), sorted(nowMs = 0))
    }

    @Test
    fun `a workspace at its cap comes last`() {
        order.onGrant(mapOf(one to 10L, two to 5L), setOf(two))
        assertEquals(listOf(one, two), sorted(nowMs = 0))
    }

    @Test
    fun `a workspace with much service elsewhere comes first once in ten seconds`() {
        order.onGrant(mapOf(one to 1_000L, two to 0L), setOf(one))
        order.onStart(two, nowMs = 9_000)
        assertEquals(listOf(two, one), sorted(nowMs = 10_000))
        assertEquals(listOf(one, two), sorted(nowMs = 10_001))
        order.onStart(one, nowMs = 10_001)
        assertEquals(listOf(two, one), sorted(nowMs = 15_000))
    }

    private fun sorted(nowMs: Long): List<WorkspaceId> = order.sorted(listOf(one, two), nowMs) { 0L }
}
