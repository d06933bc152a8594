package corneltrack.router.relay

import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** More than the buffers of all sockets on the way hold. */
private const val LONG_BODY_BYTES = 16 * 1024 * 1024

/** What the buffers of the sockets hold, so that the router has written it whether or not its endpoint reads it. */
private const val UNREAD_BODY_BYTES = 100_000

/** More than the router buffers of a response before it passes it on. */
private const val LONG_ANSWER_BYTES = 1_100_000

class BrokenOffResponseTest {
    private val fixture = RelayFixture(timeoutMs = 60_000, maximumBodyBytes = LONG_BODY_BYTES)
    private val firstBytesReceived = CountDownLatch(1)

    @AfterTest
    fun stop() = fixture.close()

    // Guards against a response that is reset while its request is being sent and reaches its caller as a complete one.
    @Test
    fun `a response without a length that is reset while its request is being sent does not look complete`() {
        fixture.endpoint("a", "services", early = true) { request, socket ->
            breakOff(request, socket, "x".repeat(LONG_ANSWER_BYTES))
        }

        assertFalse(call("/once/x").endsWith(LAST_CHUNK), "the response ended as if it were complete")
    }

    // The same failure where the break falls between two events, so that the stream could end there.
    @Test
    fun `a stream without a length that is reset while its request is being sent does not look complete`() {
        fixture.endpoint("a", early = true) { request, socket -> breakOff(request, socket, event(1)) }

        assertFalse(call("/stream/x").endsWith(LAST_CHUNK), "the stream ended as if it were complete")
    }

    // Guards against a part of a response that looks complete where the endpoint closes before it has read the request.
    @Test
    fun `a part of a response whose endpoint closes with unread bytes does not look complete`() {
        fixture.endpoint("a", "services", early = true) { request, socket -> closeUnread(request, socket, "part") }
        fixture.endpoint("b", early = true) { request, socket -> closeUnread(request, socket, event(1)) }
        fixture.start()

        val plain = listOf(UNREAD_BODY_BYTES, LONG_BODY_BYTES).map { call("/once/x", it) }
        val streams = listOf(UNREAD_BODY_BYTES, LONG_BODY_BYTES).map { call("/stream/x", it) }

        assertEquals(emptyList(), plain.filterNot { it.startsWith("HTTP/1.1 502") })
        assertEquals(emptyList(), streams.filter { it.endsWith(LAST_CHUNK) })
    }

    // Guards against a request that waits on a connection behind another that its endpoint never reads.
    @Test
    fun `a connection whose request was not read as a whole carries no other`() {
        val endpoint = fixture.endpoint("a", "services", early = true) { request, socket ->
            socket.send(signedResponse(request, "done"))
        }

        val first = call("/once/x")
        val second = fixture.call("/once/y", id = "two")

        listOf(first, second).forEach { assertTrue(it.startsWith("HTTP/1.1 200"), "found $it") }
        assertTrue(endpoint.connectionCount == 2, "${endpoint.connectionCount} connections")
    }

    @Test
    fun `a response without a length that ends with its connection is complete`() {
        fixture.endpoint("a", "services") { request, socket ->
            socket.send(headWithoutLength(request) + "done")
            socket.close()
        }
        fixture.start()

        assertTrue(fixture.call("/once/x").endsWith("4\r\ndone\r\n$LAST_CHUNK"))
    }

    // Guards against an interim response that is taken for the final one, so that the real one reaches nobody.
    @Test
    fun `an interim response other than 100 is skipped and a change of protocol fails the attempt`() {
        fixture.endpoint("a", "services") { request, socket ->
            val interim = "HTTP/1.1 ${request.headers["interim"]}\r\nrequest: ${request.id}\r\nsignature: s\r\n\r\n"
            socket.send(interim + signedResponse(request, "done"))
        }
        fixture.start()

        val skipped = fixture.call("/once/x", headers = "interim: 103 Early Hints\r\n")
        val failed = fixture.call("/once/x", id = "two", headers = "interim: 101 Switching Protocols\r\n")

        assertTrue(skipped.startsWith("HTTP/1.1 200") && skipped.endsWith("done"), "found $skipped")
        assertTrue(failed.startsWith("HTTP/1.1 502"), "found $failed")
    }

    /** Sends the start of a response, and resets the connection once the caller has received some of it. */
    private fun breakOff(request: ReceivedRequest, socket: Socket, start: String) {
        socket.send(headWithoutLength(request) + start)
        firstBytesReceived.await()
        socket.reset()
    }

    /** Sends the start of a response and closes the connection, which ends its stream and then resets it. */
    private fun closeUnread(request: ReceivedRequest, socket: Socket, start: String) {
        socket.send(headWithoutLength(request) + start)
        socket.close()
    }

    private fun headWithoutLength(request: ReceivedRequest) =
        "HTTP/1.1 200 OK\r\nrequest: ${request.id}\r\nsignature: s\r\nconnection: close\r\n\r\n"

    /** Returns the response to the first call of [path], with a long body. */
    private fun call(path: String): String {
        fixture.start()
        return call(path, LONG_BODY_BYTES)
    }

    /** Returns the response to a call of [path] with a body of [bodyBytes]. */
    private fun call(path: String, bodyBytes: Int): String = fixture.connect().use { socket ->
        socket.send(request(path, headers = "tokens: 10\r\n", body = "x".repeat(bodyBytes)))
        val first = socket.getInputStream().readNBytes(1)
        firstBytesReceived.countDown()
        String(first + socket.getInputStream().readAllBytes())
    }
}
