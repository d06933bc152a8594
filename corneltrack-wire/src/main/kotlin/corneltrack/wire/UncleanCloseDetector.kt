package corneltrack.wire

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.socket.ChannelInputShutdownEvent
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Reports that a connection was lost before the peer had ended it. */
public class ConnectionLostException : IOException("connection lost before the peer ended it")

/** Up to this size, a request is taken to have been read by a peer that responds to it. */
private const val SHORT_REQUEST_BYTES = 16 * 1024

/** How long after the end of a stream its reset may come: a round trip between far regions, in ms. */
private const val RESET_DELAY_MS = 100L

/**
 * Reports a connection that is lost without an orderly end as a [ConnectionLostException], before the HTTP codec learns
 * that it is inactive. Needs a [ResponseDecoder] behind it.
 *
 * A response without a length ends with its connection, and the codec ends it whichever way the connection closes. A
 * failed read is reported as an exception, but a failed write closes the connection without one. And a peer that closes
 * a connection while it has not read everything ends its stream and then resets the connection, which no read reports
 * any more. So an end of stream in the middle of a response is orderly only once all that was being sent has been
 * written, and no reset has followed; after a long request that is waited for. Needs
 * [io.netty.channel.ChannelOption.ALLOW_HALF_CLOSURE], which makes Netty report the end of stream as an event.
 */
public class UncleanCloseDetector : ChannelDuplexHandler() {
    private var expected = false
    private var responding = false

    /** The bytes of the present request, or of the last one. */
    private var requestBytes = 0L

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (responding) requestBytes = 0
        responding = false
        if (message is ByteBuf) requestBytes += message.readableBytes()
        context.write(message, promise)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        responding = true
        context.fireChannelRead(message)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event !is ChannelInputShutdownEvent) {
            context.fireUserEventTriggered(event)
        } else if (context.channel().responseDecoder.inResponse) {
            awaitWritten(context)
        } else {
            close(context, context.newPromise())
        }
    }

    /** Writes nothing after all that waits to be sent, which fails where one of these does. */
    private fun awaitWritten(context: ChannelHandlerContext) {
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { written ->
            if (!written.isSuccess) return@addListener
            if (requestBytes <= SHORT_REQUEST_BYTES) return@addListener endUnlessReset(context)
            context.executor().schedule({ endUnlessReset(context) }, RESET_DELAY_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun endUnlessReset(context: ChannelHandlerContext) {
        val channel = context.channel()
        if (!channel.isActive) return
        if ((channel as? ClientSocketChannel)?.isReset == true) context.fireExceptionCaught(ConnectionLostException())
        close(context, context.newPromise())
    }

    override fun close(context: ChannelHandlerContext, promise: ChannelPromise) {
        expected = true
        context.close(promise)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (!expected) context.fireExceptionCaught(ConnectionLostException())
        context.fireChannelInactive()
    }
}

/** Whether all that was sent on this connection has been written to its socket. */
public val Channel.allWritten: Boolean get() = (unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0L) == 0L
