package corneltrack.wire

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val TIMEOUT_MS = 10_000

/** Guards against clients of a control port that take the memory or the descriptors of the process. */
class ControlLimitsTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val calls = LinkedBlockingQueue<CompletableFuture<ControlResponse>>()
    private val server = ControlServer(group, secret = null) {
        CompletableFuture<ControlResponse>().also(calls::add)
    }.start(HostAndPort("127.0.0.1", 0), ControlLimits(connections = 2, headLines = 10, bodyBytes = 100))

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a request sent ahead is handled after the response to the one before`() {
        val client = connect()
        client.send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nconnection: close\r\n\r\n")
        val first = calls.poll(TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)!!
        group.next().submit { }.sync()
        assertNull(calls.poll(), "handled beside the first request")

        first.complete(ControlResponse(HttpResponseStatus.OK))
        calls.poll(TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)!!.complete(ControlResponse(HttpResponseStatus.OK))

        assertEquals(2, Regex("HTTP/1.1 200").findAll(client.received()).count())
    }

    @Test
    fun `a head of many lines is refused and its connection closed`() {
        val client = connect()

        client.send("GET /a HTTP/1.1\r\n" + "a:b\r\n".repeat(11))

        assertTrue(client.received().startsWith("HTTP/1.1 431"))
    }

    @Test
    fun `connections that send nothing give way to new ones`() {
        val left = List(2) { connect() }

        val client = connect()
        client.send("GET /a HTTP/1.1\r\nconnection: close\r\n\r\n")
        calls.poll(TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)!!.complete(ControlResponse(HttpResponseStatus.OK))

        assertTrue(client.received().startsWith("HTTP/1.1 200"))
        assertEquals("", left.first().received(), "the first connection is closed")
    }

    @Test
    fun `the response to a HEAD request has no body`() {
        val client = connect()
        client.send("HEAD /a HTTP/1.1\r\nconnection: close\r\n\r\n")
        calls.poll(TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)!!
            .complete(ControlResponse(HttpResponseStatus.OK, "body", "text/plain"))

        val response = client.received()

        assertTrue("content-length: 4" in response && response.endsWith("\r\n\r\n"), response)
    }

    private fun connect() = Socket("127.0.0.1", server.port).apply { soTimeout = TIMEOUT_MS }

    private fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

    private fun Socket.received() = String(getInputStream().readAllBytes())
}
