package corneltrack.router.callers

import corneltrack.wire.DecoderGate
import corneltrack.wire.GatedRequestDecoder
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

private const val MAXIMUM_LINE_BYTES = 8_192

/** Up to this size, copying the buffers of a chunk into one costs less than writing them separately. */
private const val MAXIMUM_COALESCED_BYTES = 4_096

/**
 * Decodes requests and encodes responses. Rejects requests with both Content-Length and Transfer-Encoding: chunked,
 * which allow request smuggling because two HTTP parsers may read different body lengths.
 *
 * @param maximumHeadBytes the maximum size of a request head, in bytes.
 * @param maximumHeadLines the maximum number of its lines.
 * @param gate decides when requests are decoded.
 */
internal class StrictServerCodec(
    maximumHeadBytes: Int,
    maximumHeadLines: Int,
    gate: DecoderGate,
) : CombinedChannelDuplexHandler<GatedRequestDecoder, HttpResponseEncoder>() {
    private var method: HttpMethod? = null

    /** The bytes that have been received and not decoded. */
    val undecodedBytes: Int get() = inboundHandler().undecodedBytes

    /** The memory that these bytes take, which may be more than they are. */
    val undecodedCapacity: Int get() = inboundHandler().undecodedCapacity

    /** Whether a part of a head has arrived and its end has not. */
    val inHead: Boolean get() = inboundHandler().inHead

    init {
        val config = HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_LINE_BYTES).setMaxHeaderSize(maximumHeadBytes)
        init(Decoder(config, maximumHeadLines, gate), Encoder())
    }

    /** Decodes what has been received, where the gate has opened. */
    fun resume(context: ChannelHandlerContext) {
        channelRead(context, Unpooled.EMPTY_BUFFER)
        channelReadComplete(context)
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message is EncodedResponse) {
            context.write(message.bytes(headOnly = method == HttpMethod.HEAD), promise)
        } else {
            super.write(context, message, promise)
        }
    }

    private inner class Decoder(config: HttpDecoderConfig, maximumLines: Int, gate: DecoderGate) :
        GatedRequestDecoder(config, maximumLines, gate) {
        override fun createMessage(initialLine: Array<String>): HttpMessage {
            val message = super.createMessage(initialLine)
            method = (message as HttpRequest).method()
            return message
        }

        override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
            throw IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked")
    }

    private inner class Encoder : HttpResponseEncoder() {
        override fun encode(context: ChannelHandlerContext, message: Any, out: MutableList<Any>) {
            super.encode(context, message, out)
            coalesceSmall(context, out)
        }

        override fun isContentAlwaysEmpty(message: HttpResponse): Boolean =
            method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
    }
}

/** Merges the size, data and line end of a small chunk into one buffer. */
private fun coalesceSmall(context: ChannelHandlerContext, out: MutableList<Any>) {
    if (out.size < 2) return
    val parts = out.filterIsInstance<ByteBuf>()
    val bytes = parts.sumOf { it.readableBytes() }
    if (parts.size < out.size || bytes > MAXIMUM_COALESCED_BYTES) return
    val coalesced = context.alloc().directBuffer(bytes)
    parts.forEach { part ->
        coalesced.writeBytes(part)
        part.release()
    }
    out.clear()
    out += coalesced
}
