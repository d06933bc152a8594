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

/** Far more than the router may read of an invalid response, far less than the endpoint is ready to send. */
private const val MAXIMUM_READ_BYTES = 16L * 1024 * 1024

/** After this many bytes the endpoint concludes that the router will not close the connection. */
private const val MAXIMUM_SENT_BYTES = 256L * 1024 * 1024

/**
 * Checks that the router limits how much it reads of a malformed or unwanted response.
 *
 * A faulty endpoint may send bytes that never become a valid response. Without a limit, one attempt takes unbounded
 * memory and time.
 */
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
    fun `interim responses without an end fail the attempt`() {
        val response = callWith("/once/x", "services") { _, socket ->
            socket.sendEndlessly("", "HTTP/1.1 100 Continue\r\n\r\n")
        }

        assertTrue(response.startsWith("HTTP/1.1 502"), "found $response")
    }

    @Test
    fun `a response to another request without an end fails the attempt`() {
        val response = callWith("/once/x", "services") { _, socket ->
            val head = "HTTP/1.1 200 OK\r\nrequest: other\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n"
            socket.sendEndlessly(head, chunk("x".repeat(100)))
        }

        assertTrue(response.startsWith("HTTP/1.1 502"), "found $response")
    }

    @Test
    fun `a refusal with a body without an end still counts as not run`() {
        val response = callWith("/once/x", "services") { request, socket ->
            val head = "HTTP/1.1 503 Full\r\nrequest: ${request.id}\r\nnot-run: 1\r\ntransfer-encoding: chunked\r\n\r\n"
            socket.sendEndlessly(head, chunk("x".repeat(100)))
        }

        assertTrue(response.startsWith("HTTP/1.1 503") && "not-run" in response, "found $response")
    }

    @Test
    fun `an event without an end aborts the stream, which does not look complete`() {
        val response = callWith("/stream/x", "engines", "tokens: 100\r\n") { request, socket ->
            socket.send(signedStreamHead(request) + chunk(event(1)))
            socket.sendEndlessly("", chunk("x".repeat(100)))
        }

        assertTrue("piece-1" in response, "found ${response.take(300)}")
        assertFalse(response.endsWith(LAST_CHUNK), "the stream ended as if it were complete")
    }

    @Test
    fun `trailers without an end abort the stream, which does not look complete`() {
        val response = callWith("/stream/x", "engines", "tokens: 100\r\n") { request, socket ->
            socket.send(signedStreamHead(request) + chunk(event(1)))
            socket.sendEndlessly("0\r\n", "x-more: something\r\n")
        }

        assertFalse(response.endsWith(LAST_CHUNK), "the stream ended as if it were complete")
    }

    @Test
    fun `bytes without an end on an idle connection reach no caller`() {
        val endpoint = fixture.endpoint("a", "services") { request, socket ->
            socket.send(signedResponse(request, "done"))
            if (request.id == "first") socket.sendEndlessly("", "x".repeat(100))
        }
        fixture.start()

        val first = fixture.call("/once/x", id = "first")
        await("the endpoint's connection to be closed") { endpoint.closedByPeer.isNotEmpty() }
        val second = fixture.call("/once/x", id = "second")

        listOf(first, second)
            .forEach { assertTrue(it.startsWith("HTTP/1.1 200") && it.endsWith("\r\n\r\ndone"), "found $it") }
        assertEquals(2, endpoint.requests.size)
    }

    @Test
    fun `bytes without an end where the next response is due reach no caller`() {
        fixture.endpoint("a", "services") { request, socket ->
            if (request.id == "first") {
                socket.send(signedResponse(request, "done"))
            } else {
                socket.sendEndlessly("", "x".repeat(100))
            }
        }
        fixture.start()

        fixture.call("/once/x", id = "first")
        val second = fixture.call("/once/x", id = "second")

        assertTrue(second.startsWith("HTTP/1.1 502") && "xxxx" !in second, "found $second")
    }

    /** Returns the response to a call of [path], after checking that the router closed the connection early. */
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
        assertTrue(sentBytes.get() < MAXIMUM_READ_BYTES, "the endpoint sent ${sentBytes.get()} bytes")
        return response
    }

    /** Sends [start] and then repeats [piece] until the peer closes the connection. */
    private fun Socket.sendEndlessly(start: String, piece: String) {
        send(start)
        val block = piece.repeat(BLOCK_BYTES / piece.length + 1)
        while (sentBytes.get() < MAXIMUM_SENT_BYTES) {
            send(block)
            sentBytes.addAndGet(block.length.toLong())
        }
        throw SocketException("the router did not close the connection after ${sentBytes.get()} bytes")
    }
}
