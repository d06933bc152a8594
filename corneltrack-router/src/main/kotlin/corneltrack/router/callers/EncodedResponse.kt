package corneltrack.router.callers

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/**
 * Holds the bytes of a complete response that is sent to many callers. Thread-safe.
 *
 * Serves routers under a flood, which refuse most requests with the same few responses: encoding one costs more than
 * deciding on it.
 */
internal class EncodedResponse(response: DefaultFullHttpResponse) {
    private val headBytes: Int
    private val bytes: ByteBuf

    init {
        val bodyBytes = response.content().readableBytes()
        val encoded = encode(response)
        headBytes = encoded.size - bodyBytes
        bytes = Unpooled.unreleasableBuffer(Unpooled.directBuffer(encoded.size).writeBytes(encoded).asReadOnly())
    }

    /** Returns the whole response, or its head alone if it answers a HEAD request. */
    fun bytes(headOnly: Boolean): ByteBuf = if (headOnly) bytes.slice(0, headBytes) else bytes.duplicate()
}

private fun encode(response: DefaultFullHttpResponse): ByteArray {
    val channel = EmbeddedChannel(HttpResponseEncoder())
    channel.writeOutbound(response)
    val parts = generateSequence { channel.readOutbound<ByteBuf>() }.toList()
    channel.close()
    return parts.fold(ByteArray(0)) { encoded, part -> encoded + ByteBufUtil.getBytes(part).also { part.release() } }
}
