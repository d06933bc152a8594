package corneltrack.router.callers

import corneltrack.wire.HostAndPort
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFactory
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import io.netty.channel.EventLoopGroup
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.flush.FlushConsolidationHandler
import java.net.InetSocketAddress
import java.nio.channels.SelectionKey

private const val LOW_WATER_BYTES = 32_768
private const val HIGH_WATER_BYTES = 131_072

/** What one read of a connection may bring; what is sent ahead beyond that stays in the socket. */
private const val MAXIMUM_RECEIVED_BYTES = 8_192
private const val INITIAL_RECEIVED_BYTES = 2_048
private const val MINIMUM_RECEIVED_BYTES = 64

/** Bounds what the kernel holds of unread responses, so that slow readers show while they are few. */
private const val SEND_BUFFER_BYTES = 262_144
private const val BACKLOG = 1_024

/** Connections that an iteration of the event loop leaves in the backlog wait there for a time that no lag shows. */
private const val ACCEPTS_PER_ITERATION = BACKLOG

/** The maximum number of flushes in one event loop iteration that share a system call, such as a head and an event. */
private const val MAXIMUM_CONSOLIDATED_FLUSHES = 64

/**
 * The HTTP server for callers.
 *
 * @param admits whether a connection is kept that has been accepted, beside so many others just now.
 * @param newConnection creates the handler of an accepted connection.
 */
internal class CallerServer(
    private val workers: EventLoopGroup,
    private val admits: (accepting: Int) -> Boolean = { true },
    private val newConnection: () -> CallerConnection,
) : AutoCloseable {
    private var channel: Channel? = null
    private val acceptAllocator = ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_PER_ITERATION)

    private val receiveAllocator = AdaptiveRecvByteBufAllocator(
        MINIMUM_RECEIVED_BYTES,
        INITIAL_RECEIVED_BYTES,
        MAXIMUM_RECEIVED_BYTES,
    )

    val port: Int get() = (channel?.localAddress() as InetSocketAddress).port

    fun start(address: HostAndPort): CallerServer {
        channel = ServerBootstrap()
            .group(workers)
            .channelFactory(ChannelFactory { AcceptingServerChannel(admits) })
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.RECVBUF_ALLOCATOR, acceptAllocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveAllocator)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(child: SocketChannel) {
                    child.pipeline().addCallerHandlers(newConnection())
                }
            })
            .bind(address.toSocketAddress()).sync().channel()
        return this
    }

    /** Stops listening; connections that the kernel has established by then are still accepted and served. */
    fun stopListening(): ChannelFuture? = channel?.close()

    /** Stops listening, and waits until that is done and each accepted connection is known to its handler. */
    override fun close() {
        stopListening()?.sync()
        workers.forEach { loop -> loop.submit { }.sync() }
    }
}

/** Adds what reads the requests of one caller and writes the responses, with [connection] last. */
internal fun ChannelPipeline.addCallerHandlers(connection: CallerConnection) {
    addLast(FlushConsolidationHandler(MAXIMUM_CONSOLIDATED_FLUSHES, true), connection.codec, connection)
}

/**
 * A listening channel that accepts the connections in its backlog right before it closes.
 *
 * Answers a planned stop under load: closing a listening socket resets the connections in its backlog, on which callers
 * may already have sent their requests.
 */
internal class AcceptingServerChannel(private val admits: (accepting: Int) -> Boolean) : NioServerSocketChannel() {
    /**
     * Closes connections that are not admitted before a selector knows them, since their descriptors would otherwise
     * stay open until its next selection.
     */
    override fun doReadMessages(accepted: MutableList<Any>): Int {
        val admitted = generateSequence { javaChannel().accept() }
            .firstOrNull { socket -> admits(accepted.size).also { if (!it) socket.close() } } ?: return 0
        accepted += NioSocketChannel(this, admitted)
        return 1
    }

    override fun doClose() {
        leaveSelector()
        generateSequence { javaChannel().accept() }.forEach { pipeline().fireChannelRead(NioSocketChannel(this, it)) }
        super.doClose()
    }

    /**
     * The JDK closes a socket that a selector knows only in a later selection, until when it would still listen. The
     * selection must leave the keys that the event loop works through as they are; others are ready again in its next
     * one.
     */
    private fun leaveSelector() {
        val key = (if (isRegistered) registration().attachment<Any>() else null) as? SelectionKey ?: return
        key.cancel()
        key.selector().selectNow { }
    }
}
