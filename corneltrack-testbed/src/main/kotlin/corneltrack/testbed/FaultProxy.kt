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

/** The faults that a [FaultProxy] can inject into a link. */
public enum class LinkFault {
    /** Bytes are forwarded. */
    NONE,

    /** Open connections are closed, and new ones are closed as soon as they are accepted. */
    CUT,

    /** Bytes are dropped in both directions; connections stay open. */
    SILENT,

    /** Bytes to the target are forwarded, bytes from it are dropped; connections stay open. */
    LOST_ANSWERS,
}

/**
 * Forwards TCP connections to a target and can delay, close or stall them.
 *
 * @param target returns the address of the target, as `host:port`; read for each new connection.
 * @param delayMs the delay of each read in either direction, in ms.
 */
public class FaultProxy(
    private val group: EventLoopGroup,
    private val target: () -> String,
    private val delayMs: Long = 0,
) : AutoCloseable {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var server: Channel? = null

    @Volatile
    private var fault = LinkFault.NONE

    /** Connections that were opened before this value of [System.nanoTime] stay stalled until they are closed. */
    @Volatile
    private var stalledBeforeNanos = Long.MIN_VALUE

    /** The number of bytes forwarded in both directions. */
    public val forwardedBytes: AtomicLong = AtomicLong()

    /** The address of the proxy, as `host:port`. */
    public val address: String get() = "127.0.0.1:${(server!!.localAddress() as InetSocketAddress).port}"

    /** Starts listening. */
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

    /** Replaces the current fault by [newFault]. */
    public fun inject(newFault: LinkFault) {
        fault = newFault
        if (newFault == LinkFault.CUT) {
            connections.close()
        }
    }

    /** Drops all further bytes of the connections that are open now; new connections work. */
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
            forwardedBytes.addAndGet((message as ByteBuf).readableBytes().toLong())
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
