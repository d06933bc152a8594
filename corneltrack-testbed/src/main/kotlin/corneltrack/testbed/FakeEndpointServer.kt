package corneltrack.testbed

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.GlobalEventExecutor

private const val BODY_LIMIT_BYTES = 16 * 1024 * 1024

/**
 * Runs the HTTP server of a fake endpoint, which can crash like a process and be started again on the same port.
 *
 * @param onRequest receives each request with its whole body.
 */
internal class FakeEndpointServer(
    private val group: EventLoopGroup,
    private val onRequest: (ChannelHandlerContext, FullHttpRequest) -> Unit,
    private val onClosed: (Channel) -> Unit,
) : AutoCloseable {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var channel: Channel? = null

    /** A port below the ephemeral range, so that no outgoing connection takes it between a crash and a restart. */
    val port: Int = freePort()

    /** Starts listening. The returned future fails if the port is taken; don't wait for it on an event loop. */
    fun start(): ChannelFuture {
        val bootstrap = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(child: SocketChannel) {
                    connections.add(child)
                    child.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(BODY_LIMIT_BYTES), Handler())
                }
            })
        val binding = bootstrap.bind("127.0.0.1", port)
        channel = binding.channel()
        return binding
    }

    /** Stops listening and closes all connections. */
    fun crash() {
        channel?.close()
        connections.close()
    }

    override fun close() {
        crash()
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, message: FullHttpRequest) =
            onRequest(context, message)

        override fun channelInactive(context: ChannelHandlerContext) = onClosed(context.channel())

        @Deprecated("Netty keeps this method for inbound handlers")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }
}
