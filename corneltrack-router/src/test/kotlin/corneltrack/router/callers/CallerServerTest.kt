package corneltrack.router.callers

import corneltrack.router.monotonicClock
import corneltrack.wire.HostAndPort
import io.netty.channel.ChannelFuture
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val CALLERS = 5
private const val MAXIMUM_CONNECTIONS = 20

/** The most connections that may be open while each stays open after its response. */
private const val MANY_CONNECTIONS = 16
private const val READ_TIMEOUT_MS = 10_000

/** Callers of a flood that connect during one iteration of an event loop; fits into the backlog. */
private const val BURST = 600

/** Far beyond what a loaded machine needs to answer a few requests. */
private const val CLOSE_TIMEOUT_MS = 10_000L

/** Checks that a planned stop answers callers whose connections the kernel has established but nobody has accepted. */
class CallerServerTest {
    private var onRequest: () -> Unit = {}
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val connections = CallerConnections(MAXIMUM_CONNECTIONS)
    private val server = CallerServer(group) {
        CallerConnection(ConnectionLimits(bodyBytes = 1_024), connections) { _, _, sink ->
            onRequest()
            sink.refuse(Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "leaving", "This router is shutting down."))
            ({})
        }
    }.start(HostAndPort("127.0.0.1", 0))

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a server that stops answers the callers in its backlog`() {
        connections.startDraining()
        val allSent = CountDownLatch(1)
        group.next().execute {
            allSent.await()
            server.stopListening()
        }
        val callers = List(CALLERS) { connect().also { it.sendRequest() } }
        allSent.countDown()

        val responses = callers.map { String(it.getInputStream().readAllBytes()) }

        assertEquals(List(CALLERS) { "HTTP/1.1 503 Service Unavailable" }, responses.map { it.substringBefore("\r\n") })
        assertTrue(connections.awaitClosed(monotonicClock, CLOSE_TIMEOUT_MS), "open: ${connections.openCount}")
    }

    @Test
    fun `a server that stops while other callers send requests closes its socket and answers them`() {
        val callers = List(2) { connect() }
        while (connections.openCount < callers.size) Thread.onSpinWait()
        val handled = CountDownLatch(1)
        val sent = CountDownLatch(1)
        var stopped: ChannelFuture? = null
        onRequest = {
            onRequest = {}
            handled.countDown()
            sent.await()
            stopped = server.stopListening()
        }
        callers[0].sendRequest()
        handled.await()
        callers[1].sendRequest()
        connections.startDraining()
        sent.countDown()

        callers.forEach { assertContains(String(it.getInputStream().readAllBytes()), "HTTP/1.1 503") }
        assertTrue(stopped!!.await().isSuccess, "the listening socket was not closed: ${stopped?.cause()}")
    }

    @Test
    fun `a server that stops listens no longer than it accepts`() {
        val connectedAfterwards = CompletableFuture<Boolean>()
        val port = server.port
        group.next().execute {
            server.stopListening()
            connectedAfterwards.complete(runCatching { Socket("127.0.0.1", port).close() }.isSuccess)
        }

        assertFalse(connectedAfterwards.get(), "connected to a server that accepts no more")
    }

    @Test
    fun `a connection without a request holds up a stop only until the timeout`() {
        val caller = connect()
        while (connections.openCount == 0) Thread.onSpinWait()
        var nowMs = 0L

        assertFalse(connections.awaitClosed({ nowMs.also { nowMs += 500 } }, timeoutMs = 1_000))
        caller.close()
    }

    @Test
    fun `a flood of connections leaves descriptors for everything else and does not keep idle ones`() {
        val callers = List(MAXIMUM_CONNECTIONS) { connect() }
        while (connections.openCount < MAXIMUM_CONNECTIONS) Thread.onSpinWait()

        val excess = connect()

        assertEquals(-1, excess.getInputStream().read(), "read on a connection beyond the maximum")
        callers.forEach { assertEquals(-1, it.getInputStream().read(), "read on an idle connection") }
    }

    @Test
    fun `a connection closes after its response once many are open and stays open before`() {
        val first = connect().also { it.sendRequest() }
        assertFalse("connection: close" in first.readResponse().lowercase())
        val others = List(MANY_CONNECTIONS - 1) { connect() }
        while (connections.openCount < MANY_CONNECTIONS) Thread.onSpinWait()
        first.sendRequest()
        assertFalse("connection: close" in first.readResponse().lowercase())

        val oneMore = connect()
        while (connections.openCount <= MANY_CONNECTIONS) Thread.onSpinWait()
        first.sendRequest()

        assertTrue("connection: close" in String(first.getInputStream().readAllBytes()).lowercase())
        (others + oneMore).forEach { it.close() }
    }

    private fun Socket.readResponse(): String {
        val text = StringBuilder()
        while (!text.endsWith("}}")) text.append(getInputStream().read().toChar())
        return text.toString()
    }

    @Test
    fun `no connection waits in the backlog unseen while an overloaded event loop serves those before it`() {
        val many = CallerConnections()
        val openAtFirstRequest = CompletableFuture<Int>()
        val overloaded = CallerServer(group) {
            CallerConnection(ConnectionLimits(bodyBytes = 1_024), many) { _, _, sink ->
                openAtFirstRequest.complete(many.openCount)
                sink.refuse(Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "busy", "Come back later."))
                ({})
            }
        }.start(HostAndPort("127.0.0.1", 0))
        val allSent = CountDownLatch(1)
        group.next().execute { allSent.await() }
        val callers = List(BURST) { Socket("127.0.0.1", overloaded.port).also { it.sendRequest() } }
        allSent.countDown()

        assertEquals(BURST, openAtFirstRequest.get(), "connections accepted when the first request was read")
        callers.forEach { it.close() }
        overloaded.close()
    }

    private fun connect() = Socket("127.0.0.1", server.port).apply { soTimeout = READ_TIMEOUT_MS }

    private fun Socket.sendRequest() {
        getOutputStream().write("GET /x HTTP/1.1\r\nHost: corneltrack\r\n\r\n".toByteArray())
        getOutputStream().flush()
    }
}
