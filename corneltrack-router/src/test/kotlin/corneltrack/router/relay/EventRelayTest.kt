package corneltrack.router.relay

import io.netty.buffer.Unpooled
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventRelayTest {
    private val fixture = RelayFixture(timeoutMs = 60_000)

    @AfterTest
    fun stop() = fixture.close()

    @Test
    fun `events are forwarded unsplit and the stream ends`() {
        fixture.endpoint("a") { request, socket ->
            socket.send(signedStreamHead(request) + chunk(event(1).take(5)))
            socket.send(chunk(event(1).drop(5) + event(2)) + LAST_CHUNK)
        }
        fixture.start()

        assertEquals(event(1) + event(2), decodeChunks(fixture.call("/stream/x", headers = "tokens: 10\r\n")))
    }

    @Test
    fun `a broken stream resumes at another endpoint after its last complete event`() {
        val script = { request: ReceivedRequest, socket: Socket ->
            val after = request.headers["last-event"]?.toInt() ?: 0
            if (after == 0) {
                socket.send(signedStreamHead(request) + chunk(event(1) + event(2) + event(3).take(7)))
                socket.close()
            } else {
                socket.send(
                    signedStreamHead(request) + chunk(event(after) + event(after + 1) + event(after + 2)) + LAST_CHUNK
                )
            }
        }
        fixture.endpoint("a", script = script)
        fixture.endpoint("b", script = script)
        fixture.start()
        repeat(10) { fixture.call("/stream/fill-retry-budget", headers = "tokens: 10\r\n") }

        val response = fixture.call("/resumed/x", headers = "tokens: 10\r\n")

        assertEquals((1..4).joinToString("") { event(it) }, decodeChunks(response))
        assertTrue(response.endsWith(LAST_CHUNK))
    }

    @Test
    fun `a stream that cannot be resumed does not look complete and contains nothing of the failure`() {
        val script = { request: ReceivedRequest, socket: Socket ->
            if (request.headers["last-event"] == null) {
                socket.send(signedStreamHead(request) + chunk(event(1) + event(2)))
                socket.close()
            } else {
                socket.send(signedResponse(request, "the failure's body", status = "500 Internal Server Error"))
            }
        }
        fixture.endpoint("a", script = script)
        fixture.endpoint("b", script = script)
        fixture.start()
        repeat(10) { fixture.call("/stream/fill-retry-budget", headers = "tokens: 10\r\n") }

        val response = fixture.call("/resumed/x", headers = "tokens: 10\r\n")

        assertEquals(event(1) + event(2), decodeChunks(response))
        assertFalse(response.endsWith(LAST_CHUNK))
    }

    @Test
    fun `a broken stream of a route without resumption does not look complete`() {
        fixture.endpoint("a") { request, socket ->
            socket.send(signedStreamHead(request) + chunk(event(1) + event(2).take(4)))
            socket.close()
        }
        fixture.start()

        val response = fixture.call("/stream/x", headers = "tokens: 10\r\n")

        assertEquals(event(1), decodeChunks(response))
        assertFalse(response.endsWith(LAST_CHUNK))
    }

    @Test
    fun `the connection to the endpoint is closed when the caller disconnects`() {
        val endpoint = fixture.endpoint("a") { request, socket ->
            socket.send(signedStreamHead(request) + chunk(event(1)))
        }
        fixture.start()

        fixture.connect().use { socket ->
            socket.send(request("/stream/x", headers = "tokens: 10\r\n"))
            assertTrue(socket.getInputStream().read() > 0)
        }

        await("the endpoint's connection to close") { endpoint.closedByPeer.size == 1 }
    }

    @Test
    fun `a stream that ends inside an event does not look complete`() {
        fixture.endpoint("a") { request, socket ->
            socket.send(signedStreamHead(request) + chunk(event(1) + event(2).take(5)) + LAST_CHUNK)
        }
        fixture.start()

        val response = fixture.call("/stream/x", headers = "tokens: 10\r\n")

        assertEquals(event(1), decodeChunks(response))
        assertFalse(response.endsWith(LAST_CHUNK))
    }

    @Test
    fun `a stream without length or chunks that ends inside an event does not look complete`() {
        fixture.endpoint("a") { request, socket ->
            val head = "HTTP/1.1 200 OK\r\nrequest: ${request.id}\r\nsignature: a\r\n"
            socket.send(head + "content-type: text/event-stream\r\n\r\n" + event(1) + event(2).take(5))
            socket.close()
        }
        fixture.start()

        val response = fixture.call("/stream/x", headers = "tokens: 10\r\n")

        assertEquals(event(1), decodeChunks(response))
        assertFalse(response.endsWith(LAST_CHUNK))
    }

    @Test
    fun `an answer that ends inside its head is not passed on as a success`() {
        fixture.endpoint("a") { _, socket ->
            socket.send("HTTP/1.1 200 OK\r\nsignature: a\r\nconte")
            socket.close()
        }
        fixture.start()

        assertTrue(fixture.call("/stream/x", headers = "tokens: 10\r\n").startsWith("HTTP/1.1 502"))
    }

    @Test
    fun `the splitter finds the same events for every chunk size`() {
        val text = (1..20).joinToString("") { event(it) } + "version: 3\nid: 21\ndata: x\n\n"
        for (size in 1..text.length) {
            val splitter = EventSplitter()
            val events = text.chunked(size).flatMap { splitter.feed(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }

            assertEquals((1..21).map { "$it" }, events.map { it.id }, "ids with chunks of $size bytes")
            assertEquals(text, events.joinToString("") { it.bytes.toString(Charsets.UTF_8) })
            assertFalse(splitter.hasPartialEvent)
            events.forEach { it.bytes.release() }
            splitter.close()
        }
    }
}
