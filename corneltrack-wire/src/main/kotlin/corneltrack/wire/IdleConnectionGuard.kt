package corneltrack.wire

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Closes an idle connection at the first byte that arrives on it, which can only belong to an earlier request.
 *
 * Stands before the decoder, which would keep a part of a message and put it before the next response.
 *
 * @param onData runs once, before a connection is closed for this reason.
 * @param onClosed runs when the connection has been closed, for whatever reason.
 */
internal class IdleConnectionGuard(private val onData: () -> Unit, private val onClosed: () -> Unit) :
    ChannelInboundHandlerAdapter() {
    private var closing = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        ReferenceCountUtil.release(message)
        if (closing) return
        closing = true
        onData()
        context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        onClosed()
        context.fireChannelInactive()
    }

    @Deprecated("Netty keeps this method for inbound handlers")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}

/**
 * Closes this connection if data arrives on it before [endIdle]. Needs a [ResponseDecoder] in the pipeline.
 *
 * Returns false, and does nothing, if data has arrived already: the connection must then not be used again.
 *
 * @param onData runs once, before the connection is closed since data arrived.
 * @param onClosed runs when the connection has been closed, for whatever reason.
 */
public fun Channel.beginIdle(onData: () -> Unit = {}, onClosed: () -> Unit = {}): Boolean {
    val decoder = pipeline().context(ResponseDecoder::class.java)
    if ((decoder.handler() as ResponseDecoder).hasUndecodedBytes) return false
    pipeline().addBefore(decoder.name(), null, IdleConnectionGuard(onData, onClosed))
    return true
}

/** Ends what [beginIdle] began, so that the connection can carry a request. */
public fun Channel.endIdle() {
    pipeline().remove(IdleConnectionGuard::class.java)
}
