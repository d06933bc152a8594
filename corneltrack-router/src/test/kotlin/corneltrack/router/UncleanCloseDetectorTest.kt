package corneltrack.router

import corneltrack.world.DataCentreId
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.MemberState
import corneltrack.world.PoolId
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

private const val BACKLOG = 1
private const val EVENT_TIMEOUT_S = 10L

/** Small, so that most of a request waits to be written. */
private const val RECEIVE_BUFFER_BYTES = 4_096

/** More than the buffers of both sockets hold. */
private const val LONG_BODY_BYTES = 16 * 1024 * 1024
private const val RESPONSE_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\nhalf"

class UncleanCloseDetectorTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val endpoint = Endpoint(
        EndpointId("a"),
        PoolId("pool"),
        DataCentreId("here"),
        "127.0.0.1:${server.localPort}",
        MemberState.LIVE,
    )
    private val events = LinkedBlockingQueue<String>()

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    // Guards against an end that the codec makes up when a write finds the connection reset.
    @Test
    fun `a response without a length that is reset while the request is being sent fails before it ends`() {
        server.receiveBufferSize = RECEIVE_BUFFER_BYTES
        val accepted = send(LONG_BODY_BYTES)

        respond(accepted)
        accepted.setSoLinger(true, 0)
        accepted.close()

        assertEquals("failed", nextEvent())
    }

    // Guards against an end of stream that is taken for the end of the response while its request is being sent.
    @Test
    fun `a response without a length whose connection is closed with unread bytes fails before it ends`() {
        server.receiveBufferSize = RECEIVE_BUFFER_BYTES
        val accepted = send(LONG_BODY_BYTES)

        respond(accepted)
        accepted.shutdownOutput()
        repeat(2) { group.next().submit { }.sync() }
        accepted.close()

        assertEquals("failed", nextEvent())
    }

    @Test
    fun `a response without a length that ends in order before its request was read is complete`() {
        server.receiveBufferSize = RECEIVE_BUFFER_BYTES
        val accepted = send(LONG_BODY_BYTES)

        respond(accepted)
        accepted.shutdownOutput()
        accepted.getInputStream().readNBytes(LONG_BODY_BYTES)

        assertEquals("ended", nextEvent())
    }

    // Guards against an end that the codec makes up when a read finds the connection reset.
    @Test
    fun `a response without a length that is reset after the request was sent fails before it ends`() {
        val accepted = send(bodyBytes = 0)

        respond(accepted)
        accepted.setSoLinger(true, 0)
        accepted.close()

        assertEquals("failed", nextEvent())
    }

    @Test
    fun `a response without a length ends with an orderly close of its connection`() {
        val accepted = send(bodyBytes = 0)

        respond(accepted)
        accepted.getInputStream().run { readNBytes(available()) }
        accepted.close()

        assertEquals("ended", nextEvent())
    }

    @Test
    fun `closing the connection on this side is no failure`() {
        val channel = connect()

        channel.close().sync()

        assertEquals("inactive", nextEvent())
    }

    private fun connect() = EndpointConnections { _, _, _ -> }.connect(group.next(), endpoint, nowMs = 1).sync()
        .channel().also { it.pipeline().addLast(EventRecorder()) }

    private fun send(bodyBytes: Int): Socket {
        val body = Unpooled.wrappedBuffer(ByteArray(bodyBytes))
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/", body)
        request.headers().setInt("content-length", bodyBytes)
        connect().writeAndFlush(request)
        return server.accept()
    }

    /** Sends the start of the response once the request has begun to arrive, and waits until it has arrived. */
    private fun respond(connection: Socket) {
        connection.getInputStream().read()
        connection.getOutputStream().write(RESPONSE_WITHOUT_LENGTH.toByteArray())
        assertEquals(listOf("head", "content"), List(2) { nextEvent() })
    }

    private fun nextEvent() = events.poll(EVENT_TIMEOUT_S, TimeUnit.SECONDS)

    private inner class EventRecorder : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpResponse) events += "head"
            if (message is HttpContent && message.content().isReadable) events += "content"
            if (message is LastHttpContent) events += "ended"
            ReferenceCountUtil.release(message)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            events += "inactive"
        }

        @Deprecated("Netty keeps this method for inbound handlers")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            events += "failed"
        }
    }
}
