package corneltrack.testbed

import corneltrack.world.SetDefault
import corneltrack.world.Terms
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ReplacementTest {
    private val fleet = TestFleet(
        fleetPlan {
            dataCentre("north", routers = 3, engines = 2)
            engine = EngineBehaviour(batchSlots = 4, decodeMsPerToken = 10, coldStartMs = 500)
        },
    ).start()
    private val client = CallerClient(fleet.group)

    @AfterTest
    fun stop() = fleet.close()

    @Test
    fun `replacing every router in turn under load cuts off no request`() {
        val driver = LoadDriver(client, evenBacklogs(fleet, calls = 2)) { 30 }
        driver.start()
        await("engines to be busy") { fleet.engines.values.all { it.runningRequestCount >= 2 } }
        fleet.routers.forEach { router ->
            router.terminate()
            assertTrue(router.awaitExit(), "${router.id} did not end")
            router.start()
            await("${router.id} to be ready") { fleet.isReady(router) }
        }
        driver.stop()
        await("all calls to end") { driver.openCalls == 0 }
        assertEquals(0, driver.counts.unknown.get() + driver.counts.mismatched.get(), "${driver.counts}")
        assertEquals(0, driver.counts.incomplete.get(), "${driver.counts}")
        assertEquals(0, fleet.engines.values.sumOf { it.coldStartOverloads.get() + it.refusedRequests.get() })
    }

    @Test
    fun `a router without memory learns the configuration from a peer while the log is down`() {
        val offset = fleet.change(SetDefault(Terms(weight = 3.0)))
        await("all routers to apply it") {
            fleet.routers.all { (fleet.status(it)?.configurationOffset ?: -1) >= offset }
        }
        fleet.log.down = true
        val router = fleet.routers.first()
        router.kill()
        router.start()
        await("the new process to catch up") { (fleet.status(router)?.configurationOffset ?: -1) >= offset }
    }
}
