package corneltrack.router.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val LONG_BYTES = 100_000L

/**
 * Guards against long bodies of many callers, each within its limit, that together take the memory, with which short
 * requests end as well.
 */
class BodyMemoryTest {
    private val memory = BodyMemory(maximumBytes = 3 * LONG_BYTES, shortBytes = 2)

    @Test
    fun `all bodies together hold no more than the maximum`() {
        val parts = List(4) { memory.newPart() }

        assertEquals(listOf(true, true, true, false), parts.map { it.tryHold(LONG_BYTES) })
        assertEquals(3 * LONG_BYTES, memory.heldBytes)
        parts.first().release()
        assertTrue(parts.last().tryHold(LONG_BYTES), "held what another had released")
    }

    @Test
    fun `a part of the memory is kept for short bodies`() {
        memory.newPart().tryHold(3 * LONG_BYTES)

        assertTrue(memory.newPart().tryHold(2))
        assertFalse(memory.newPart().tryHold(1), "held more than all of the memory")
    }

    @Test
    fun `what is held beside bodies and can't give way takes from their room`() {
        var besideBytes = LONG_BYTES
        val shared = BodyMemory(3 * LONG_BYTES, shortBytes = 0, totalBytes = 3 * LONG_BYTES) { besideBytes }

        assertEquals(listOf(true, true, false), List(3) { shared.newPart().tryHold(LONG_BYTES) })
        besideBytes = 0
        assertTrue(shared.newPart().tryHold(LONG_BYTES), "refused although there is room")
    }

    @Test
    fun `a body larger than the memory is admitted alone`() {
        val part = memory.newPart()

        assertTrue(part.tryHold(5 * LONG_BYTES))
        assertFalse(memory.newPart().tryHold(1), "admitted beside it")
        part.release()
        assertEquals(0, memory.heldBytes)
    }

    @Test
    fun `a request without memory for its body is refused at its head and the next one is served`() {
        val bodies = ArrayList<Int>()
        var refused = 0
        val connections = CallerConnections(bodyMemory = memory) { refused++ }
        val channel = EmbeddedChannel()
        channel.pipeline().addCallerHandlers(
            CallerConnection(ConnectionLimits(bodyBytes = 1_000_000), connections) { request, _, sink ->
                bodies += request.body.size
                sink.refuse(Refusal(HttpResponseStatus.BAD_GATEWAY, "served", "served"))
                ({})
            },
        )
        val other = memory.newPart()
        other.tryHold(3 * LONG_BYTES)

        channel.send("POST / HTTP/1.1\r\ncontent-length: $LONG_BYTES\r\n\r\n")
        val refusal = channel.received()
        assertTrue(refusal.startsWith("HTTP/1.1 503") && "retry-after: 1" in refusal, "found $refusal")
        channel.send("x".repeat(LONG_BYTES.toInt()))
        assertEquals("", channel.received(), "an answer to the rest of the body")
        other.release()
        channel.send("POST / HTTP/1.1\r\ncontent-length: $LONG_BYTES\r\n\r\n" + "x".repeat(LONG_BYTES.toInt()))

        assertTrue(channel.received().startsWith("HTTP/1.1 502"), "the next request is served")
        assertEquals(listOf(LONG_BYTES.toInt()), bodies)
        assertEquals(1, refused, "refused requests")
        assertEquals(0, memory.heldBytes, "held after the last response")
    }

    @Test
    fun `a caller that waits for the permission to send its body is refused and its connection closed`() {
        val connections = CallerConnections(bodyMemory = memory)
        val channel = EmbeddedChannel()
        channel.pipeline().addCallerHandlers(
            CallerConnection(ConnectionLimits(bodyBytes = 1_000_000), connections) { _, _, _ -> ({}) },
        )
        memory.newPart().tryHold(3 * LONG_BYTES)

        channel.send("POST / HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: $LONG_BYTES\r\n\r\n")

        assertTrue(channel.received().startsWith("HTTP/1.1 503"))
        assertFalse(channel.isOpen, "the connection is open")
    }

    @Test
    fun `a body in chunks is refused where it no longer fits and frees what it held`() {
        val connections = CallerConnections(bodyMemory = memory)
        val channel = EmbeddedChannel()
        channel.pipeline().addCallerHandlers(
            CallerConnection(ConnectionLimits(bodyBytes = 1_000_000), connections) { _, _, _ -> ({}) },
        )
        memory.newPart().tryHold(2 * LONG_BYTES)
        val chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n"

        channel.send("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n" + chunk.repeat(3))
        assertEquals("", channel.received())
        channel.send(chunk)

        assertTrue(channel.received().startsWith("HTTP/1.1 503"))
        assertEquals(2 * LONG_BYTES, memory.heldBytes)
        channel.send("no chunk\r\n")
        assertEquals("", channel.received(), "a second answer to the request")
        assertFalse(channel.isOpen, "the connection is open")
    }

    private fun EmbeddedChannel.send(text: String) {
        writeInbound(Unpooled.copiedBuffer(text, Charsets.US_ASCII))
        runPendingTasks()
    }

    private fun EmbeddedChannel.received(): String = generateSequence { readOutbound<ByteBuf>() }
        .joinToString("") { bytes -> bytes.toString(Charsets.US_ASCII).also { bytes.release() } }
}
