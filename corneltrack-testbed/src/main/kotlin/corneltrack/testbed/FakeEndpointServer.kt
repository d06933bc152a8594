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

/** Serves whole HTTP requests to a stand-in and can go down like a crashed process and come back. */
internal class FakeEndpointServer(
    private val group: EventLoopGroup,
    private val onRequest: (ChannelHandlerContext, FullHttpRequest) -> Unit,
    private val onClosed: (Channel) -> Unit,
) : AutoCloseable {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var channel: Channel? = null

    /** A port that the system gives to no outgoing connection, so that it is still free after a crash. */
    val port: Int = freePort()

    /** Listens. The future fails where the port is taken; never wait for it on an event loop. */
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

    /** Stops to listen and breaks all connections. */
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
