package corneltrack.router

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.socket.ChannelInputShutdownEvent
import java.io.IOException

/** Reports that a connection was lost before the peer had ended it. */
internal class ConnectionLostException : IOException("connection lost before the peer ended it")

/**
 * Reports a connection that is lost without an end of stream as a [ConnectionLostException], before the HTTP codec
 * learns that it is inactive.
 *
 * A response without a length ends with its connection, and the codec ends it whichever way the connection closes. A
 * failed read is reported as an exception, but a failed write closes the connection without one. Needs
 * [io.netty.channel.ChannelOption.ALLOW_HALF_CLOSURE], which makes Netty report the end of stream as an event.
 */
internal class UncleanCloseDetector : ChannelDuplexHandler() {
    private var expected = false

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event !is ChannelInputShutdownEvent) {
            context.fireUserEventTriggered(event)
            return
        }
        expected = true
        context.close()
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
