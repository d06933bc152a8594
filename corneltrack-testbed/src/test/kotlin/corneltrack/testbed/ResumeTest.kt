package corneltrack.testbed

import corneltrack.world.EndpointId
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ResumeTest {
    private val fleet = smallFleet {
        engine = EngineBehaviour(batchSlots = 4, decodeMsPerToken = 10, coldStartMs = 1, resumable = true)
    }
    private val client = CallerClient(fleet.group)
    private val engine = fleet.engines.getValue(EndpointId("north-engine-1"))
    private val engineProxies get() =
        fleet.proxies.matching { it.from == "north-router-1" && it.to == "north-engine-1" }

    @AfterTest
    fun stop() = fleet.close()

    @Test
    fun `a stream whose connection stalls for good completes over another connection`() {
        val call = startStream("silent")
        engineProxies.forEach { it.stallOpenConnections() }
        assertComplete(call, "silent")
    }

    @Test
    fun `a stream whose connection breaks completes although the engine is unreachable for some seconds`() {
        val call = startStream("broken")
        engineProxies.forEach { it.inject(LinkFault.CUT) }
        await("the engine to finish without a reader") { engine.runningRequestCount == 0 }
        engineProxies.forEach { it.inject(LinkFault.NONE) }
        assertComplete(call, "broken")
    }

    @Test
    fun `a request with an idempotency key whose connection loses the start of the response still gets all of it`() {
        val headers = mapOf("idempotency-key" to "key-1")
        engineProxies.forEach { it.inject(LinkFault.LOST_ANSWERS) }
        val request = chat(fleet.workspace, "keyed", TOKENS, headers = headers)
        val call = client.call(fleet.router("north").callerAddress, request)
        await("the engine to run it") { engine.receivedRequests.get() == 1L }
        engineProxies.forEach { it.inject(LinkFault.NONE) }
        assertComplete(call, "keyed")
        assertEquals(1, fleet.engines.values.sumOf { it.receivedRequests.get() })
    }

    @Test
    fun `a stream that its restarted engine no longer knows is cut off and never looks complete`() {
        val call = startStream("lost")
        engine.crash()
        val result = call.join()
        assertTrue(!result.complete && "[DONE]" !in result.body, "$result")
    }

    @Test
    fun `the engine stops generating when the caller disconnects`() {
        val call = startStream("left", tokens = 100_000)
        call.disconnect()
        await("the engine to have no running request") { engine.runningRequestCount == 0 }
    }

    private fun startStream(word: String, tokens: Int = TOKENS): OpenCall {
        val data = StringBuffer()
        val address = fleet.router("north").callerAddress
        val call = client.call(address, chat(fleet.workspace, word, tokens)) { data.append(it) }
        await("the response to begin") { "$word-20 " in data }
        assertEquals(1, engine.runningRequestCount)
        return call
    }

    private fun assertComplete(call: OpenCall, word: String) {
        val result = call.join()
        assertTrue(result.isExpectedStream(word, TOKENS), "$result")
    }

    private companion object {
        const val TOKENS = 200
    }
}
