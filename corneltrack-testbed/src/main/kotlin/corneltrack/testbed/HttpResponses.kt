package corneltrack.testbed

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/** Writes a complete JSON response. */
internal fun ChannelHandlerContext.respondJson(body: String, status: HttpResponseStatus = HttpResponseStatus.OK) {
    val content = Unpooled.copiedBuffer(body, Charsets.UTF_8)
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
    response.headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
    writeAndFlush(response)
}
