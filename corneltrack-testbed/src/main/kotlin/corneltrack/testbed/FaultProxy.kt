package corneltrack.testbed

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.GlobalEventExecutor
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** What a [FaultProxy] does to a link. */
public enum class LinkFault {
    /** Bytes pass. */
    NONE,

    /** Connections are broken and new ones closed at once. */
    CUT,

    /** Bytes are swallowed in both directions; connections stay open. */
    SILENT,

    /** Bytes towards the target pass; those that come back are swallowed. */
    LOST_ANSWERS,
}

/** Passes TCP connections on to [target] (host and port) and can delay, cut or silence them. */
public class FaultProxy(
    private val group: EventLoopGroup,
    private val target: () -> String,
    private val delayMs: Long = 0,
) : AutoCloseable {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var server: Channel? = null

    @Volatile
    private var fault = LinkFault.NONE

    /** Open connections that were established before this moment of [nowMs] stay silent for good. */
    @Volatile
    private var stalledBeforeNanos = Long.MIN_VALUE

    /** The bytes passed so far, in both directions. */
    public val bytes: AtomicLong = AtomicLong()

    /** Host and port of the proxy. */
    public val address: String get() = "127.0.0.1:${(server!!.localAddress() as InetSocketAddress).port}"

    /** Starts to listen. */
    public fun start(): FaultProxy = apply {
        server = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(child: SocketChannel) = accept(child)
            })
            .bind("127.0.0.1", 0).syncUninterruptibly().channel()
    }

    /** Lets [newFault] strike from now on. */
    public fun inject(newFault: LinkFault) {
        fault = newFault
        if (newFault == LinkFault.CUT) {
            connections.close()
        }
    }

    /** Silences the connections that are open now; new ones work. */
    public fun stallOpenConnections() {
        stalledBeforeNanos = System.nanoTime()
    }

    override fun close() {
        server?.close()
        connections.close()
    }

    private fun accept(child: SocketChannel) {
        if (fault == LinkFault.CUT) {
            child.close()
            return
        }
        connections.add(child)
        val host = target().substringBeforeLast(':')
        val port = target().substringAfterLast(':').toInt()
        val connected = Bootstrap()
            .group(child.eventLoop())
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    connections.add(channel)
                    channel.pipeline().addLast(Forwarder(child, fromTarget = true))
                }
            })
            .connect(host, port)
        child.pipeline().addLast(Forwarder(connected.channel(), fromTarget = false))
        connected.addListener {
            if (connected.isSuccess) child.config().isAutoRead = true else child.close()
        }
    }

    private inner class Forwarder(private val other: Channel, private val fromTarget: Boolean) :
        ChannelInboundHandlerAdapter() {
        private val openedNanos = System.nanoTime()

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val dropped = fault == LinkFault.SILENT || fault == LinkFault.LOST_ANSWERS && fromTarget
            if (dropped || openedNanos < stalledBeforeNanos) {
                ReferenceCountUtil.release(message)
                return
            }
            bytes.addAndGet((message as ByteBuf).readableBytes().toLong())
            context.afterDelay { other.writeAndFlush(message) }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            context.afterDelay { other.close() }
        }

        @Deprecated("Netty keeps this method for inbound handlers")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }

        private fun ChannelHandlerContext.afterDelay(action: () -> Unit) {
            if (delayMs == 0L) action() else executor().schedule(action, delayMs, TimeUnit.MILLISECONDS)
        }
    }
}
