package corneltrack.router.relay

import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** More than the buffers of all sockets on the way hold. */
private const val LONG_BODY_BYTES = 16 * 1024 * 1024

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

    private fun headWithoutLength(request: ReceivedRequest) =
        "HTTP/1.1 200 OK\r\nrequest: ${request.id}\r\nsignature: s\r\nconnection: close\r\n\r\n"

    /** Returns the response to a call of [path] with a long body. */
    private fun call(path: String): String {
        fixture.start()
        return fixture.connect().use { socket ->
            socket.send(request(path, headers = "tokens: 10\r\n", body = "x".repeat(LONG_BODY_BYTES)))
            val first = socket.getInputStream().readNBytes(1)
            firstBytesReceived.countDown()
            String(first + socket.getInputStream().readAllBytes())
        }
    }
}
