package corneltrack.wire

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

private const val SHORT_TIMEOUT_MS = 100L
private const val LONG_TIMEOUT_MS = 10_000L

class ControlClientTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val server = MutingServer()
    private val client = ControlClient(group)

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `unresponsive idle connections cost one call however many there are`() {
        val first = listOf(send(LONG_TIMEOUT_MS), send(LONG_TIMEOUT_MS))
        first.forEach { assertIs<ControlResult.Responded>(it.join()) }
        assertEquals(2, server.connections, "concurrent calls use a connection each")

        server.muteOpenConnections()

        assertIs<ControlResult.NoResponse>(send(SHORT_TIMEOUT_MS).join())
        assertIs<ControlResult.Responded>(send(LONG_TIMEOUT_MS).join())
        assertEquals(3, server.connections, "the call after the timeout opens a new connection")
    }

    private fun send(timeoutMs: Long) =
        client.send(server.address, ControlRequest(HttpMethod.GET, "/"), timeoutMs)
}

/** Responds on each connection once two have been opened, until the connection is muted. */
private class MutingServer : AutoCloseable {
    private val listener = ServerSocket(0, 8, InetAddress.getLoopbackAddress())
    private val open = CopyOnWriteArrayList<Socket>()
    private val muted = CopyOnWriteArrayList<Socket>()
    val address: String = "127.0.0.1:${listener.localPort}"
    val connections: Int get() = open.size

    init {
        thread(isDaemon = true) {
            generateSequence { runCatching { listener.accept() }.getOrNull() }.forEach {
                open += it
                thread(isDaemon = true) { serve(it) }
            }
        }
    }

    fun muteOpenConnections() {
        muted += open
    }

    override fun close() {
        listener.close()
        open.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        val lines = socket.getInputStream().bufferedReader()
        while (true) {
            val line = runCatching { lines.readLine() }.getOrNull() ?: return
            if (line.isNotEmpty() || socket in muted) continue
            while (open.size < 2) Thread.onSpinWait()
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".toByteArray())
        }
    }
}
