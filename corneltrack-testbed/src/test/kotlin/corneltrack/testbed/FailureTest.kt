package corneltrack.testbed

import corneltrack.world.EndpointId
import corneltrack.world.MemberState
import corneltrack.world.TakeOut
import corneltrack.world.Target
import corneltrack.world.TargetKind
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FailureTest {
    private val fleet = smallFleet {
        engine = EngineBehaviour(batchSlots = 4, decodeMsPerToken = 10, coldStartMs = 1_000)
    }
    private val client = CallerClient(fleet.group)

    @AfterTest
    fun stop() = fleet.close()

    @Test
    fun `a request that crashes engines is quarantined after two and no innocent one is`() {
        val headers = mapOf("x-corneltrack-deadline-ms" to "20000")
        val poisonRequest = chat(fleet.workspace, "poison $CRASH_MARK", 5, headers = headers)
        val unrelatedCalls = fleet.routers.map { router -> "beside-${router.id}" to router }
            .map { (word, router) ->
                Triple(
                    word,
                    router,
                    client.call(router.callerAddress, chat(fleet.workspace, word, 50))
                )
            }
        val first = client.call(fleet.router("north").callerAddress, poisonRequest).join()
        assertTrue(first.outcome == "unknown" || !first.complete, "$first")
        await("a retry to be refused") {
            client.call(fleet.router("south").callerAddress, poisonRequest).join().let {
                it.status == 422 && "quarantined" in it.body
            }
        }
        assertEquals(
            2,
            fleet.engines.values.sumOf { it.crashes.get() } - fleet.engines.values.sumOf { it.coldStartOverloads.get() }
        )
        unrelatedCalls.forEach { (word, router, call) ->
            call.join()
            val again = client.call(router.callerAddress, chat(fleet.workspace, word, 50)).join()
            assertTrue(again.isExpectedStream(word, 50), "$word got $again")
        }
    }

    @Test
    fun `connections that go silent while new ones work lose no request`() {
        val firstResult = client.call(fleet.router("north").callerAddress, chat(fleet.workspace, "warm", 3)).join()
        assertTrue(firstResult.isExpectedStream("warm", 3))
        fleet.proxies.matching { it.from == fleet.router("north").id }.forEach { it.stallOpenConnections() }
        val result = client.call(fleet.router("north").callerAddress, chat(fleet.workspace, "next", 3)).join()
        assertTrue(result.isExpectedStream("next", 3), "$result")
    }

    @Test
    fun `an engine that breaks off in the middle of an answer never makes it look whole`() {
        val engine = fleet.engines.getValue(EndpointId("north-engine-1"))
        val call = client.call(fleet.router("north").callerAddress, chat(fleet.workspace, "long", 500))
        await("the response to begin") { engine.runningRequestCount == 1 }
        engine.crash()
        val result = call.join()
        val reportedTruthfully = result.isExpectedStream("long", 500) || !result.complete || result.outcome == "unknown"
        assertTrue(reportedTruthfully && ("[DONE]" !in result.body || result.complete), "$result")
    }

    @Test
    fun `an endpoint that leaves gets no new work after three seconds`() {
        val id = EndpointId("middle-engine-1")
        val driver = saturateEngines()
        fleet.list.update { list ->
            list.copy(endpoints = list.endpoints.map { if (it.id == id) it.copy(state = MemberState.LEAVING) else it })
        }
        expectNoNewWork(id)
        driver.stop()
    }

    @Test
    fun `a data centre taken out gets no new work after three seconds, with the log down right after`() {
        val id = EndpointId("middle-engine-1")
        val driver = saturateEngines()
        val offset = fleet.change(TakeOut(Target(TargetKind.DATA_CENTRE, "middle")))
        await("a router to apply it") { fleet.routers.any { (fleet.status(it)?.configurationOffset ?: -1) >= offset } }
        fleet.log.down = true
        expectNoNewWork(id)
        await("all routers to apply it") {
            fleet.routers.all { (fleet.status(it)?.configurationOffset ?: -1) >= offset }
        }
        driver.stop()
    }

    @Test
    fun `a router cut off from everything refuses truthfully and serves again when it rejoins`() {
        val router = fleet.router("south")
        val others = fleet.routers.map { it.id }.filter { it != router.id }.toSet()
        val endpoints = (fleet.engines.keys + fleet.services.keys).map { it.value }.toSet()
        fleet.proxies.injectBetween(setOf(router.id), others + endpoints + setOf("log", "list"), LinkFault.SILENT)
        val headers = mapOf("x-corneltrack-deadline-ms" to "4000")
        val isolated = client.call(router.callerAddress, chat(fleet.workspace, "cut", 3, headers = headers)).join()
        assertTrue(isolated.outcome in setOf("not-run", "unknown"), "$isolated")
        fleet.proxies.injectBetween(setOf(router.id), others + endpoints + setOf("log", "list"), LinkFault.NONE)
        await("the router to serve again") {
            client.call(router.callerAddress, chat(fleet.workspace, "back", 3)).join().isExpectedStream("back", 3)
        }
    }

    @Test
    fun `a router that was paused past its lease starts no more than engines bear`() {
        val driver = saturateEngines()
        repeat(3) {
            val router = fleet.routers[it]
            router.pause()
            Thread.sleep(PAUSE_MS)
            router.resume()
        }
        val before = driver.counts.complete.get()
        await("further responses to complete") { driver.counts.complete.get() > before + 50 }
        driver.stop()
        assertEquals(0, fleet.engines.values.sumOf { it.coldStartOverloads.get() + it.refusedRequests.get() })
    }

    @Test
    fun `a restarted engine is not given more than it bears in cold start`() {
        val driver = saturateEngines()
        val engine = fleet.engines.getValue(EndpointId("north-engine-1"))
        engine.crash()
        await("the engine to be fully used again") { engine.runningRequestCount == 4 && engine.crashes.get() >= 1 }
        driver.stop()
        assertEquals(0, fleet.engines.values.sumOf { it.coldStartOverloads.get() })
    }

    @Test
    fun `an engine that restarts in a region that is cut off, with the log down, gets no more than it bears`() {
        val driver = saturateEngines()
        val members = fleet.routers.map { it.id } + fleet.engines.keys.map { it.value }
        val regionMembers = members.filterTo(HashSet()) { it.startsWith("south") }
        val otherMembers = members.toSet() - regionMembers
        fleet.log.down = true
        fleet.proxies.injectBetween(regionMembers, otherMembers, LinkFault.SILENT)
        val engine = fleet.engines.getValue(EndpointId("south-engine-1"))
        engine.crash()
        await("its own region to use the engine fully again") { engine.runningRequestCount == 4 }
        fleet.proxies.injectBetween(regionMembers, otherMembers, LinkFault.NONE)
        fleet.log.down = false
        val before = driver.counts.complete.get()
        await("further responses to complete") { driver.counts.complete.get() > before + 100 }
        driver.stop()
        assertEquals(0, fleet.engines.values.sumOf { it.coldStartOverloads.get() })
        assertEquals(0, driver.counts.mismatched.get())
    }

    /** Starts a load that keeps all engines busy and waits until they are out of cold start and in use. */
    private fun saturateEngines(): LoadDriver {
        val driver = LoadDriver(client, evenBacklogs(fleet, calls = 3)) { 20 }
        driver.start()
        await("all engines to be fully used") { fleet.engines.values.all { it.runningRequestCount >= 3 } }
        return driver
    }

    private fun expectNoNewWork(id: EndpointId) {
        val engine = fleet.engines.getValue(id)
        Thread.sleep(PROPAGATION_LIMIT_MS)
        val before = engine.receivedRequests.get()
        val others = fleet.engines.filterKeys { it != id }.values
        val target = others.sumOf { it.receivedRequests.get() } + 100
        await("the other engines to start 100 requests") { others.sumOf { it.receivedRequests.get() } >= target }
        assertEquals(before, engine.receivedRequests.get(), "new work on $id")
    }

    private companion object {
        const val PROPAGATION_LIMIT_MS = 3_000L
        const val PAUSE_MS = 5_000L
    }
}
