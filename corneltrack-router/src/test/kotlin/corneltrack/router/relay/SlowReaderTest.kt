package corneltrack.router.relay

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val AWAIT_S = 30L
private const val RECEIVE_BUFFER_BYTES = 4_096
private const val LONG_BYTES = 4 * 1024 * 1024
private val BLOCK = "x".repeat(65_536).toByteArray()

/** Checks what becomes of a response whose caller does not read it. */
class SlowReaderTest {
    private val fixture = RelayFixture(timeoutMs = 60_000)

    @AfterTest
    fun stop() = fixture.close()

    // Guards against endpoints that are held up by a caller, and against a cut response that looks complete.
    @Test
    fun `a response without end that nobody reads is cut off at the endpoint and at the caller`() {
        val closed = CountDownLatch(1)
        fixture.endpoint("s", "services") { request, socket ->
            val output = socket.getOutputStream()
            try {
                output.write("HTTP/1.1 200 OK\r\nrequest: ${request.id}\r\nsignature: s\r\n".toByteArray())
                output.write("transfer-encoding: chunked\r\n\r\n".toByteArray())
                while (true) output.write("10000\r\n".toByteArray() + BLOCK + "\r\n".toByteArray())
            } catch (_: IOException) {
                closed.countDown()
            }
        }
        fixture.start()
        fixture.connect().use { caller ->
            caller.receiveBufferSize = RECEIVE_BUFFER_BYTES
            caller.getOutputStream().write(request("/once/x").toByteArray())

            assertTrue(closed.await(AWAIT_S, TimeUnit.SECONDS), "the endpoint's connection is open")
            assertFalse(String(readAll(caller.getInputStream()::read)).endsWith("0\r\n\r\n"), "looks complete")
        }
    }

    // Guards against endpoints whose responses stay unread at them because one caller reads slowly.
    @Test
    fun `a long response is taken from its endpoint though its caller does not read yet`() {
        val sent = CountDownLatch(1)
        fixture.endpoint("s", "services") { request, socket ->
            val head = "HTTP/1.1 200 OK\r\nrequest: ${request.id}\r\nsignature: s\r\n" +
                "content-length: $LONG_BYTES\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            repeat(LONG_BYTES / BLOCK.size) { socket.getOutputStream().write(BLOCK) }
            sent.countDown()
        }
        fixture.start()
        fixture.connect().use { caller ->
            caller.getOutputStream().write(request("/once/x").toByteArray())
            assertTrue(sent.await(AWAIT_S, TimeUnit.SECONDS), "the endpoint waits")

            val response = readAll(caller.getInputStream()::read)

            assertTrue(response.size > LONG_BYTES, "received ${response.size} bytes")
        }
    }

    private fun readAll(read: (ByteArray) -> Int): ByteArray {
        val all = ByteArrayOutputStream()
        val buffer = ByteArray(BLOCK.size)
        try {
            generateSequence { read(buffer) }.takeWhile { it >= 0 }.forEach { all.write(buffer, 0, it) }
        } catch (_: IOException) {
            // The router reset the connection.
        }
        return all.toByteArray()
    }
}
