package corneltrack.router.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val REQUEST = "GET /x HTTP/1.1\r\n\r\n"
private val LONG_HEAD = "GET /x HTTP/1.1\r\n" + "x-context: ${"c".repeat(469)}\r\n".repeat(28) + "\r\n"
private val SERVED = Refusal(HttpResponseStatus.BAD_GATEWAY, "served", "served")

/** Guards against requests sent ahead and heads of many lines, which take far more memory decoded than as bytes. */
class RequestsAheadTest {
    private val sinks = ArrayList<ResponseSink>()
    private val memory = CallerMemory(CallerMemoryBounds(headBytes = 1_000_000, waitingBytes = 1_000_000))
    private val connections = CallerConnections(memory = memory)

    @Test
    fun `no request is decoded before the one ahead of it has been served`() {
        val channel = connect()

        channel.send(REQUEST.repeat(100))
        assertEquals(1, sinks.size, "requests passed on")
        val held = memory.heldBytes(HeldKind.HEADS) + memory.heldBytes(HeldKind.IN_PROGRESS)
        assertTrue(held in 1..100, "one head holds $held bytes")
        repeat(100) {
            sinks.last().refuse(SERVED)
            channel.runPendingTasks()
        }

        assertEquals(100, sinks.size, "requests passed on")
        assertEquals(100, Regex("HTTP/1.1 502").findAll(channel.received()).count(), "responses")
        assertEquals(0, memory.heldBytes(HeldKind.HEADS), "held after the last response")
        assertEquals(0, memory.heldBytes(HeldKind.IN_PROGRESS), "held after the last response")
        assertTrue(channel.config().isAutoRead, "the connection is read again")
    }

    @Test
    fun `a connection with much sent ahead is not read until it is served`() {
        val channel = connect()

        channel.send(REQUEST.repeat(1_000))
        assertFalse(channel.config().isAutoRead, "read although bytes wait")
        while (sinks.size < 1_000) {
            sinks.last().refuse(SERVED)
            channel.runPendingTasks()
        }
        sinks.last().refuse(SERVED)
        channel.runPendingTasks()

        assertTrue(channel.config().isAutoRead)
    }

    @Test
    fun `a caller that disconnects with requests ahead cancels only the one that was passed on`() {
        var cancelled = 0
        val channel = connect { cancelled++ }
        channel.send(REQUEST.repeat(10))

        channel.close()
        channel.runPendingTasks()

        assertEquals(1, sinks.size)
        assertEquals(1, cancelled)
    }

    @Test
    fun `a head of the largest size in the shortest lines is served alone`() {
        val channel = connect()

        channel.send("GET /x HTTP/1.1\r\n" + "a:\r\n".repeat(4_090) + "\r\n")

        assertEquals(1, sinks.size, channel.received())
    }

    @Test
    fun `a head with more lines than fit into its size is refused and its connection closed`() {
        val channel = connect()

        channel.send("GET /x HTTP/1.1\r\n" + "a:\r\n".repeat(4_097))

        assertTrue(channel.received().startsWith("HTTP/1.1 431"))
        assertFalse(channel.isOpen, "the connection is open")
        assertEquals(1, connections.shed.totals().getValue(ShedReason.HEAD_TOO_LARGE))
    }

    @Test
    fun `a crowd of unfinished heads loses the largest while a small one is served`() {
        val crowd = List(4) { connect() }
        val ordinary = connect()
        ordinary.send("GET /x HTTP/1.1\r\n")
        crowd.forEach { it.send("GET /x HTTP/1.1\r\n" + "a:b\r\n".repeat(2_000)) }

        ordinary.send("\r\n")

        assertEquals(1, sinks.size, "the ordinary request is passed on")
        crowd.forEach { it.runPendingTasks() }
        val refused = crowd.map { it.received() }.filter { it.isNotEmpty() }
        assertEquals(2, refused.size, "of the crowd refused")
        assertTrue(refused.all { it.startsWith("HTTP/1.1 503") && "not-run" in it }, refused.first())
        assertTrue(memory.heldBytes(HeldKind.HEADS) <= 1_000_000)
    }

    // Guards against connections that are cut for their heads once their requests have been passed on.
    @Test
    fun `requests in progress are served however many more heads arrive`() {
        var cancelled = 0
        val crowd = List(40) { connect { cancelled++ } }

        crowd.forEach { it.send(LONG_HEAD) }
        sinks.forEach { it.refuse(SERVED) }
        crowd.forEach { it.runPendingTasks() }

        assertEquals(40, crowd.count { it.received().startsWith("HTTP/1.1 502") }, "requests served")
        assertEquals(0, cancelled, "requests cancelled")
    }

    @Test
    fun `a head that does not fit beside those of requests in progress is refused before it is passed on`() {
        val small = CallerConnections(memory = CallerMemory(CallerMemoryBounds(headBytes = 100_000)))
        var cancelled = 0
        val crowd = List(20) { connect(small) { cancelled++ } }

        crowd.forEach { it.send(LONG_HEAD) }
        val passedOn = sinks.size
        val refused = crowd.map { it.received() }.filter { it.isNotEmpty() }
        sinks.forEach { it.refuse(SERVED) }
        crowd.forEach { it.runPendingTasks() }
        val served = crowd.count { it.received().startsWith("HTTP/1.1 502") }

        assertTrue(passedOn in 4..8, "$passedOn passed on")
        assertEquals(20 - passedOn, refused.size, "refused")
        assertTrue(refused.all { it.startsWith("HTTP/1.1 503") && "head_memory" in it && "not-run" in it })
        assertEquals(passedOn, served, "served of those passed on")
        assertEquals(0, cancelled, "requests cancelled")
    }

    @Test
    fun `a head that does not end in time is refused as not run`() {
        val channel = connect()
        channel.freezeTime()
        channel.send("GET /x HTTP/1.1\r\nhost: a\r\n")

        channel.advanceTimeBy(3, TimeUnit.SECONDS)
        channel.runScheduledPendingTasks()
        channel.runPendingTasks()

        assertTrue(channel.received().startsWith("HTTP/1.1 408"))
        assertFalse(channel.isOpen, "the connection is open")
    }

    @Test
    fun `an empty line after a request begins no head`() {
        val channel = connect()
        channel.freezeTime()
        channel.send("$REQUEST\r\n")
        sinks.single().refuse(SERVED)
        channel.runPendingTasks()
        channel.received()

        channel.advanceTimeBy(3, TimeUnit.SECONDS)
        channel.runScheduledPendingTasks()
        channel.runPendingTasks()

        assertEquals("", channel.received())
        assertTrue(channel.isOpen, "closed")
    }

    private fun connect(to: CallerConnections = connections, onCancel: () -> Unit = {}): EmbeddedChannel {
        val channel = EmbeddedChannel()
        val limits = ConnectionLimits(bodyBytes = 1_000, headTimeoutMs = 3_000)
        val connection = CallerConnection(limits, to) { request, _, sink ->
            request.keep(request.head.headers())
            sinks += sink
            onCancel
        }
        channel.pipeline().addCallerHandlers(connection)
        return channel
    }

    private fun EmbeddedChannel.send(text: String) {
        writeInbound(Unpooled.copiedBuffer(text, Charsets.US_ASCII))
        runPendingTasks()
    }

    private fun EmbeddedChannel.received(): String = generateSequence { readOutbound<ByteBuf>() }
        .joinToString("") { bytes -> bytes.toString(Charsets.US_ASCII).also { bytes.release() } }
}
