package corneltrack.router

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Discards a response, closes its connection and then runs [action], also if the connection broke. */
internal class ResponseEndHandler(private val action: () -> Unit) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        ReferenceCountUtil.release(message)
        if (message is LastHttpContent) context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) = action()

    @Deprecated("Netty keeps this method for inbound handlers")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}
