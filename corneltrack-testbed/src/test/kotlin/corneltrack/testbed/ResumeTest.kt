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
    private val links get() = fleet.proxies.matching { it.from == "north-router-1" && it.to == "north-engine-1" }

    @AfterTest
    fun stop() = fleet.close()

    @Test
    fun `a stream whose connection falls silent for good comes whole over another one`() {
        val call = streamHalf("silent")
        links.forEach { it.stallOpenConnections() }
        assertWhole(call, "silent")
    }

    @Test
    fun `a stream whose connection breaks comes whole, also when the engine can't be reached for some seconds`() {
        val call = streamHalf("broken")
        links.forEach { it.inject(LinkFault.CUT) }
        await("the engine to finish alone") { engine.runningRequestCount == 0 }
        links.forEach { it.inject(LinkFault.NONE) }
        assertWhole(call, "broken")
    }

    @Test
    fun `a keyed request whose answer has not begun when the connection breaks gets it all the same`() {
        val headers = mapOf("idempotency-key" to "key-1")
        links.forEach { it.inject(LinkFault.LOST_ANSWERS) }
        val request = chat(fleet.workspace, "keyed", TOKENS, headers = headers)
        val call = client.call(fleet.router("north").callerAddress, request)
        await("the engine to run it") { engine.receivedRequests.get() == 1L }
        links.forEach { it.inject(LinkFault.NONE) }
        assertWhole(call, "keyed")
        assertEquals(1, fleet.engines.values.sumOf { it.receivedRequests.get() })
    }

    @Test
    fun `a stream that its restarted engine no longer knows is cut off and never looks whole`() {
        val call = streamHalf("lost")
        engine.crash()
        val result = call.join()
        assertTrue(!result.complete && "[DONE]" !in result.body, "$result")
    }

    @Test
    fun `a caller that leaves lets the engine drop its stream`() {
        val call = streamHalf("left", tokens = 100_000)
        call.disconnect()
        await("the engine to be free") { engine.runningRequestCount == 0 }
    }

    private fun streamHalf(word: String, tokens: Int = TOKENS): OpenCall {
        val data = StringBuffer()
        val address = fleet.router("north").callerAddress
        val call = client.call(address, chat(fleet.workspace, word, tokens)) { data.append(it) }
        await("the answer to begin") { "$word-20 " in data }
        assertEquals(1, engine.runningRequestCount)
        return call
    }

    private fun assertWhole(call: OpenCall, word: String) {
        val result = call.join()
        assertTrue(result.isExpectedStream(word, TOKENS), "$result")
    }

    private companion object {
        const val TOKENS = 200
    }
}
