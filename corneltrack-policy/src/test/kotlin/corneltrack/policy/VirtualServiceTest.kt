package corneltrack.policy

import corneltrack.world.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals

class VirtualServiceTest {
    private val one = WorkspaceId("one")
    private val two = WorkspaceId("two")
    private val service = VirtualService { if (it == one) 2.0 else 1.0 }

    @Test
    fun `cost is divided by weight and a repeated report has no effect`() {
        service.chargeLocal("r/1", mapOf(one to 0L, two to 0L), complete = true)
        repeat(3) { service.chargeLocal("r/1", mapOf(one to 100L, two to 100L), complete = false) }
        assertEquals(50.0, service.of(one))
        assertEquals(100.0, service.of(two))
    }

    @Test
    fun `an estimate that was too high is corrected`() {
        service.chargeLocal("r/1", mapOf(two to 0L), complete = true)
        service.chargeLocal("r/1", mapOf(two to 100L), complete = false)
        service.chargeLocal("r/1", mapOf(two to 30L), complete = false)
        assertEquals(30.0, service.of(two))
        assertEquals(mapOf(two to 30L), service.localCosts())
    }

    @Test
    fun `idle time earns no credit`() {
        service.seed(mapOf(one to 500L, two to 20L))
        service.advance(setOf(one))
        assertEquals(500.0, service.of(two))
    }

    @Test
    fun `the cost that a router served before its first report is not counted again`() {
        service.seed(mapOf(two to 1_000L))
        service.chargeLocal("r/1", mapOf(two to 1_000L), complete = true)
        assertEquals(1_000.0, service.of(two))
    }

    @Test
    fun `an incomplete first report of an origin sets no baseline`() {
        service.chargeLocal("r/1", mapOf(one to 10L), complete = false)
        service.chargeLocal("r/1", mapOf(one to 0L, two to 5_000L), complete = true)
        service.chargeLocal("r/1", mapOf(two to 5_010L), complete = false)
        assertEquals(10.0, service.of(two))
    }
}
