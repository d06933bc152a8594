package corneltrack.router.relay

import java.net.Socket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val BLOCK_BYTES = 8_192

/** Far more than the router may keep of what is no answer, far less than what the endpoint goes on to send. */
private const val MAXIMUM_READ_BYTES = 16L * 1024 * 1024

/** What an endpoint may send before it is taken not to be stopped by anyone. */
private const val MAXIMUM_SENT_BYTES = 256L * 1024 * 1024

/** An endpoint in trouble sends bytes that are no answer until the router closes. */
class EndlessResponseTest {
    private val fixture = RelayFixture(timeoutMs = 60_000)
    private val sentBytes = AtomicLong()

    @AfterTest
    fun stop() = fixture.close()

    @Test
    fun `a status line without an end fails the attempt`() {
        val response = callWith("/once/x", "services") { _, socket -> socket.sendEndlessly("HTTP/1.1 200 O", "k") }

        assertTrue(response.startsWith("HTTP/1.1 502"), "found $response")
    }

    @Test
    fun `a head without an end fails the attempt`() {
        val response = callWith("/once/x", "services") { _, socket ->
            socket.sendEndlessly("HTTP/1.1 200 OK\r\n", "x-more: something\r\n")
        }

        assertTrue(response.startsWith("HTTP/1.1 502"), "found $response")
    }

    @Test
    fun `interim answers without an end fail the attempt`() {
        val response = callWith("/once/x", "services") { _, socket ->
            socket.sendEndlessly("", "HTTP/1.1 100 Continue\r\n\r\n")
        }

        assertTrue(response.startsWith("HTTP/1.1 502"), "found $response")
    }

    @Test
    fun `an answer to another request without an end fails the attempt`() {
        val response = callWith("/once/x", "services") { _, socket ->
            val head = "HTTP/1.1 200 OK\r\nrequest: other\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n"
            socket.sendEndlessly(head, chunk("x".repeat(100)))
        }

        assertTrue(response.startsWith("HTTP/1.1 502"), "found $response")
    }

    @Test
    fun `a refusal whose body has no end is still known as not run`() {
        val response = callWith("/once/x", "services") { request, socket ->
            val head = "HTTP/1.1 503 Full\r\nrequest: ${request.id}\r\nnot-run: 1\r\ntransfer-encoding: chunked\r\n\r\n"
            socket.sendEndlessly(head, chunk("x".repeat(100)))
        }

        assertTrue(response.startsWith("HTTP/1.1 503") && "not-run" in response, "found $response")
    }

    @Test
    fun `an event without an end breaks the stream and never looks whole`() {
        val response = callWith("/stream/x", "engines", "tokens: 100\r\n") { request, socket ->
            socket.send(signedStreamHead(request) + chunk(event(1)))
            socket.sendEndlessly("", chunk("x".repeat(100)))
        }

        assertTrue("piece-1" in response, "found ${response.take(300)}")
        assertFalse(response.endsWith(LAST_CHUNK), "the stream ended as if it were complete")
    }

    @Test
    fun `trailers without an end break the stream and never look whole`() {
        val response = callWith("/stream/x", "engines", "tokens: 100\r\n") { request, socket ->
            socket.send(signedStreamHead(request) + chunk(event(1)))
            socket.sendEndlessly("0\r\n", "x-more: something\r\n")
        }

        assertFalse(response.endsWith(LAST_CHUNK), "the stream ended as if it were complete")
    }

    @Test
    fun `bytes without an end on an idle connection reach nobody`() {
        val endpoint = fixture.endpoint("a", "services") { request, socket ->
            socket.send(signedResponse(request, "done"))
            if (request.id == "first") socket.sendEndlessly("", "x".repeat(100))
        }
        fixture.start()

        val responses = listOf("first", "second").map { fixture.call("/once/x", id = it) }

        responses.forEach { assertTrue(it.startsWith("HTTP/1.1 200") && it.endsWith("\r\n\r\ndone"), "found $it") }
        assertEquals(2, endpoint.requests.size)
        await("the endpoint's connection to be closed") { endpoint.closedByPeer.isNotEmpty() }
    }

    /** Returns what the caller of [path] gets, and checks that the endpoint's connection was closed early. */
    private fun callWith(
        path: String,
        pool: String,
        headers: String = "",
        script: (ReceivedRequest, Socket) -> Unit,
    ): String {
        val endpoint = fixture.endpoint("a", pool, script = script)
        fixture.start()
        val response = fixture.call(path, headers = headers)
        await("the endpoint's connection to be closed") { endpoint.closedByPeer.isNotEmpty() }
        assertTrue(sentBytes.get() < MAXIMUM_READ_BYTES, "the router took ${sentBytes.get()} bytes")
        return response
    }

    /** Sends [start] and then [piece] again and again, until the other side closes. */
    private fun Socket.sendEndlessly(start: String, piece: String) {
        send(start)
        val block = piece.repeat(BLOCK_BYTES / piece.length + 1)
        while (sentBytes.get() < MAXIMUM_SENT_BYTES) {
            send(block)
            sentBytes.addAndGet(block.length.toLong())
        }
        throw SocketException("nobody closed")
    }
}
