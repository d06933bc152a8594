package corneltrack.router

import corneltrack.world.DataCentreId
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.MemberState
import corneltrack.world.PoolId
import io.netty.channel.Channel
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

private const val BACKLOG = 50
private const val MAXIMUM_IDLE = 2
private const val NOW_MS = 1_000L

class EndpointConnectionsTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = EndpointConnections(maximumIdle = MAXIMUM_IDLE) { _, _, _ -> }
    private val endpoints = List(MAXIMUM_IDLE + 1) {
        Endpoint(
            EndpointId("$it"),
            PoolId("pool"),
            DataCentreId("here"),
            "127.0.0.1:${server.localPort}",
            MemberState.LIVE,
        )
    }

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `idle connections to all endpoints together are bounded`() {
        val channels = endpoints.map { connect(it) }

        endpoints.zip(channels).forEach { (endpoint, channel) -> release(channel, endpoint) }

        assertEquals(MAXIMUM_IDLE, connections.idleCount)
        assertFalse(channels.last().isOpen, "the connection beyond the maximum is open")
    }

    @Test
    fun `connections that are taken again or lost make room for others`() {
        repeat(MAXIMUM_IDLE * 2) {
            release(connect(endpoints.first()), endpoints.first())
            assertNotNull(connections.acquire(loop, endpoints.first(), NOW_MS))
            assertEquals(0, connections.idleCount, "idle connections after the last was taken")
        }
        release(connect(endpoints.first()), endpoints.first())
        connections.discard(endpoints.first().id)
        assertEquals(0, connections.idleCount, "idle connections after they were discarded")
        val lost = connect(endpoints.first())
        release(lost, endpoints.first())
        lost.close().sync()
        awaitInactive()

        assertTrue(connections.idleCount == 0, "idle connections after the last was lost: ${connections.idleCount}")
    }

    /**
     * Waits until handlers know of a close that has completed. It completes before the task that tells them is queued,
     * so that a first task may come before that one; a second task comes after it.
     */
    private fun awaitInactive() = repeat(2) { loop.submit { }.sync() }

    private fun connect(endpoint: Endpoint): Channel = connections.connect(loop, endpoint, NOW_MS).sync().channel()

    private fun release(channel: Channel, endpoint: Endpoint) {
        loop.submit { connections.release(channel, endpoint, NOW_MS) }.sync()
    }
}
