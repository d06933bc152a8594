package corneltrack.testbed

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AtMostOnceTest {
    private val fleet = smallFleet { serviceTimeMs = SERVICE_TIME_MS }
    private val client = CallerClient(fleet.group)

    @AfterTest
    fun stop() = fleet.close()

    @Test
    fun `concurrent retries of an order through every router run it once and all get its response`() {
        val calls = fleet.routers.flatMap { router -> List(3) { send(router, "order-1", "key-1") } }
        calls.forEach { assertEquals("{\"done\":\"order-1\"}", it.join().body) }
        assertEquals(1, fleet.runsOf("order-1"))
    }

    @Test
    fun `an order runs once when the response to the append of its claim is lost`() {
        fleet.log.responsesToDrop.set(1)
        val first = send(fleet.router("north"), "order-2", "key-2").join()
        val repeat = send(fleet.router("south"), "order-2", "key-2").join()
        assertEquals("{\"done\":\"order-2\"}", repeat.body, "first got $first")
        assertEquals(1, fleet.runsOf("order-2"))
    }

    @Test
    fun `an order with a key is refused as not run while the log is down`() {
        fleet.log.down = true
        val refused = send(fleet.router("north"), "order-3", "key-3").join()
        assertEquals(503 to "not-run", refused.status to refused.outcome)
        assertEquals(0, fleet.runsOf("order-3"))
        fleet.log.down = false
        assertEquals(200, send(fleet.router("north"), "order-3", "key-3").join().status)
        assertEquals(1, fleet.runsOf("order-3"))
    }

    @Test
    fun `a retry after the crash of the first router gets the outcome unknown and does not run again`() {
        val first = send(fleet.router("north"), "order-4", "key-4")
        await("the order to run") { fleet.runsOf("order-4") == 1 }
        fleet.router("north").kill()
        assertEquals(false, first.join().complete)
        val repeat = send(fleet.router("south"), "order-4", "key-4").join()
        assertEquals("unknown", repeat.outcome, "$repeat")
        assertEquals(1, fleet.runsOf("order-4"))
    }

    @Test
    fun `an order with the key of another order is refused as not run`() {
        send(fleet.router("north"), "order-5", "key-5").join()
        val other = send(fleet.router("middle"), "order-6", "key-5").join()
        assertEquals(422 to "not-run", other.status to other.outcome)
        assertEquals(0, fleet.runsOf("order-6"))
    }

    @Test
    fun `an order whose response is lost gets the outcome unknown and is sent once`() {
        val serviceProxies = fleet.proxies.matching { "service" in it.to }
        serviceProxies.forEach { it.inject(LinkFault.LOST_ANSWERS) }
        val result = client.call(fleet.router("north").callerAddress, order(fleet.workspace, "order-7")).join()
        assertEquals(502 to "unknown", result.status to result.outcome)
        assertEquals(1, fleet.runsOf("order-7"))
    }

    @Test
    fun `an order that is refused as not run while no service is reachable did not run`() {
        fleet.proxies.matching { "service" in it.to }.forEach { it.inject(LinkFault.CUT) }
        val headers = mapOf("x-corneltrack-deadline-ms" to "2000")
        val result = client.call(fleet.router("north").callerAddress, order(fleet.workspace, "order-8", headers)).join()
        assertTrue(result.outcome in setOf("not-run", "unknown"), "$result")
        if (result.outcome == "not-run") assertEquals(0, fleet.runsOf("order-8"))
    }

    @Test
    fun `routers forget the keys that they claimed after the retention`() =
        smallFleet { claimRetentionMs = SHORT_RETENTION_MS }.use { small ->
            var sent = 0
            await("keys past the retention to be forgotten") {
                sent++
                val headers = mapOf("idempotency-key" to "brief-$sent")
                client.call(small.router("north").callerAddress, order(small.workspace, "brief-$sent", headers)).join()
                rememberedKeys(small) in 1 until sent
            }
        }

    private fun rememberedKeys(fleet: TestFleet): Int =
        Regex("corneltrack_claims_remembered (\\d+)").find(fleet.get(fleet.router("north"), "/metrics").orEmpty())
            ?.groupValues?.get(1)?.toInt() ?: 0

    private fun send(router: RouterProcess, body: String, key: String): OpenCall =
        client.call(router.callerAddress, order(fleet.workspace, body, mapOf("idempotency-key" to key)))

    private companion object {
        const val SERVICE_TIME_MS = 500L
        const val SHORT_RETENTION_MS = 500L
    }
}
