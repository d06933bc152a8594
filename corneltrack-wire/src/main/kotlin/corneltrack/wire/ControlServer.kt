package corneltrack.wire

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.compression.StandardCompressionOptions
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContentCompressor
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.net.InetSocketAddress
import java.security.MessageDigest

private const val COMPRESSION_THRESHOLD_BYTES = 4_096
private const val BEARER_PREFIX = "Bearer "
private val logger = LogManager.getLogger("corneltrack.wire.ControlServer")

/**
 * Serves control requests over HTTP and states in each response which call of its client it answers.
 *
 * @param secret the bearer token that clients must send, at least with the first request on each connection; null to
 *   accept all requests.
 * @param unauthenticatedPaths paths that need no secret.
 */
public class ControlServer(
    private val group: EventLoopGroup,
    private val secret: String?,
    private val unauthenticatedPaths: Set<String> = emptySet(),
    private val handler: ControlHandler,
) : AutoCloseable {
    private var channel: Channel? = null

    /** The port that the server listens on. */
    public val port: Int get() = (channel?.localAddress() as InetSocketAddress).port

    /**
     * Starts to listen on [address] and returns this server. Fails if the address is in use.
     *
     * @param limits what clients may take of the process.
     */
    public fun start(address: HostAndPort, limits: ControlLimits = ControlLimits()): ControlServer {
        val connections = ControlConnections(limits.connections)
        val bootstrap = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(child: SocketChannel) {
                    val gate = ControlGate(child)
                    connections.onOpened(child, gate::serving)
                    child.pipeline().addLast(
                        GatedRequestDecoder(HttpDecoderConfig(), limits.headLines, gate),
                        ControlResponseEncoder(gate),
                        HttpObjectAggregator(limits.bodyBytes),
                        HttpContentCompressor(COMPRESSION_THRESHOLD_BYTES, StandardCompressionOptions.gzip()),
                        RequestHandler(gate),
                    )
                }
            })
        channel = bootstrap.bind(address.toSocketAddress()).sync().channel()
        return this
    }

    override fun close() {
        channel?.close()?.sync()
    }

    private inner class RequestHandler(private val gate: ControlGate) : SimpleChannelInboundHandler<FullHttpRequest>() {
        /** Whether the last secret sent on this connection was correct. */
        private var authenticated = false

        private fun authorize(request: FullHttpRequest): Boolean {
            val authorization = request.headers().get(HttpHeaderNames.AUTHORIZATION)
            if (secret != null && authorization != null) {
                authenticated = constantTimeEquals(authorization, BEARER_PREFIX + secret)
            }
            return authenticated || secret == null || request.uri().substringBefore('?') in unauthenticatedPaths
        }

        override fun channelRead0(context: ChannelHandlerContext, message: FullHttpRequest) {
            if (message.decoderResult().isFailure) {
                context.respond(ControlResponse(unreadable(message)), null, keepAlive = false)
                return
            }
            gate.onRequest(message.method())
            val keepAlive = HttpUtil.isKeepAlive(message)
            val call = message.headers().get(CALL_HEADER)
            if (!authorize(message)) {
                val refusal = ControlResponse(HttpResponseStatus.UNAUTHORIZED, "{\"error\":\"a secret is required\"}")
                context.respond(refusal, call, keepAlive).addListener { gate.onResponseWritten() }
                return
            }
            val content = Content(ByteBufUtil.getBytes(message.content()))
            val ifNoneMatch = message.headers().get(HttpHeaderNames.IF_NONE_MATCH)
            val request = ControlRequest(message.method(), message.uri(), content, ifNoneMatch = ifNoneMatch)
            handler(request).whenComplete { response, failure ->
                if (failure != null) {
                    logger.event("control_failed", Level.WARN) {
                        field("path", request.path)
                        field("reason", failure)
                    }
                }
                val sent = response ?: ControlResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR)
                context.respond(sent, call, keepAlive).addListener { gate.onResponseWritten() }
            }
        }

        @Deprecated("Netty keeps this method for inbound handlers")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }
}

/** Whether two secrets are equal. Takes constant time, so that it does not reveal where they differ. */
public fun constantTimeEquals(one: String, other: String): Boolean =
    MessageDigest.isEqual(one.toByteArray(), other.toByteArray())

private fun unreadable(message: FullHttpRequest): HttpResponseStatus =
    if (message.decoderResult().cause() is TooLongHttpHeaderException) {
        HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    } else {
        HttpResponseStatus.BAD_REQUEST
    }

private fun ChannelHandlerContext.respond(
    response: ControlResponse,
    call: String?,
    keepAlive: Boolean,
): ChannelFuture {
    val payload = Unpooled.wrappedBuffer(response.content.bytes)
    val message = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status, payload)
    message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, payload.readableBytes())
    response.contentType?.let { message.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
    call?.let { message.headers().set(CALL_HEADER, it) }
    response.entityTag?.let { message.headers().set(HttpHeaderNames.ETAG, it) }
    response.headers.forEach { (name, value) -> message.headers().set(name, value) }
    val written = writeAndFlush(message)
    if (!keepAlive) {
        written.addListener(ChannelFutureListener.CLOSE)
    }
    return written
}
