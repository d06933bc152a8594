package corneltrack.router.callers

import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

private const val LINE_LIMIT_BYTES = 8_192

/**
 * Decodes requests and encodes answers, and rejects requests whose length two readers may understand differently.
 *
 * @param headLimit the largest head, in bytes.
 */
internal class StrictServerCodec(
    headLimit: Int
) : CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder>() {
    private var method: HttpMethod? = null

    init {
        val config = HttpDecoderConfig().setMaxInitialLineLength(LINE_LIMIT_BYTES).setMaxHeaderSize(headLimit)
        init(Decoder(config), Encoder())
    }

    private inner class Decoder(config: HttpDecoderConfig) : HttpRequestDecoder(config) {
        override fun createMessage(initialLine: Array<String>): HttpMessage {
            val message = super.createMessage(initialLine)
            method = (message as HttpRequest).method()
            return message
        }

        override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
            throw IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked")
    }

    private inner class Encoder : HttpResponseEncoder() {
        override fun isContentAlwaysEmpty(message: HttpResponse): Boolean =
            method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
    }
}
