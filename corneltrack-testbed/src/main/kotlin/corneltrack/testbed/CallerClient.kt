package corneltrack.testbed

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference

/** An HTTP request of a caller. */
public data class Call(
    val method: HttpMethod,
    val path: String,
    val body: String,
    val headers: Map<String, String>,
)

/**
 * Describes the response that a caller received, if any.
 *
 * @property status the status code, or 0 without a response head.
 * @property outcome what the router reports about whether the request ran, or null.
 * @property body the part of the body that was received.
 * @property complete whether the response was received to its end.
 * @property firstByteNanos the time from the creation of the connection to the first byte of the body, in ns.
 * @property connected whether a connection was established.
 */
public data class CallResult(
    val status: Int,
    val outcome: String?,
    val body: String,
    val complete: Boolean,
    val firstByteNanos: Long,
    val connected: Boolean = true,
)

/** Sends calls, each on a connection of its own. */
public class CallerClient(private val group: EventLoopGroup) {
    /**
     * Sends [call] to [address], a `host:port`.
     *
     * @param onData receives each piece of the body as it arrives.
     */
    public fun call(address: String, call: Call, onData: (String) -> Unit = {}): OpenCall {
        val result = CompletableFuture<CallResult>()
        val openCall = OpenCall(result)
        val connected = Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(HttpClientCodec(), ResponseReader(result, onData))
                }
            })
            .connect(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
        connected.addListener {
            if (connected.isSuccess) {
                openCall.channel.set(connected.channel())
                connected.channel().writeAndFlush(call.toHttpRequest(address))
            } else {
                result.complete(CallResult(0, null, "", complete = false, firstByteNanos = 0, connected = false))
            }
        }
        return openCall
    }
}

/** A call that has been sent. */
public class OpenCall internal constructor(public val result: CompletableFuture<CallResult>) {
    internal val channel = AtomicReference<Channel>()

    /** Closes the connection without waiting for the response. */
    public fun disconnect() {
        channel.get()?.close()
    }

    /** Waits for the result. */
    public fun join(): CallResult = result.join()
}

private fun Call.toHttpRequest(address: String): DefaultFullHttpRequest {
    val content = Unpooled.copiedBuffer(body, Charsets.UTF_8)
    val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content)
    message.headers()
        .set(HttpHeaderNames.HOST, address)
        .setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        .set(HttpHeaderNames.CONNECTION, "close")
    headers.forEach { (name, value) -> message.headers().set(name, value) }
    return message
}

private class ResponseReader(
    private val result: CompletableFuture<CallResult>,
    private val onData: (String) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private val startNanos = System.nanoTime()
    private val body = StringBuilder()
    private var status = 0
    private var outcome: String? = null
    private var firstByteNanos = 0L

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (message is HttpResponse) {
            status = message.status().code()
            outcome = message.headers().get("x-corneltrack-outcome")
        }
        if (message is HttpContent) {
            onContent(message)
        }
        if (message is LastHttpContent) {
            finish(complete = !message.decoderResult().isFailure)
            context.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) = finish(complete = false)

    @Deprecated("Netty keeps this method for inbound handlers")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun onContent(content: HttpContent) {
        if (content.content().isReadable) {
            if (firstByteNanos == 0L) firstByteNanos = System.nanoTime() - startNanos
            val text = content.content().toString(Charsets.UTF_8)
            body.append(text)
            onData(text)
        }
    }

    private fun finish(complete: Boolean) {
        result.complete(CallResult(status, outcome, body.toString(), complete, firstByteNanos))
    }
}
