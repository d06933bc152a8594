package corneltrack.wire

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPromise
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContentDecompressor
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.AttributeKey
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit

private const val CONNECT_TIMEOUT_MS = 1_000
private const val DEFAULT_TIMEOUT_MS = 2_000L
private const val MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024
private const val MAXIMUM_IDLE_CONNECTIONS = 8
private val logger = LogManager.getLogger("corneltrack.wire.ControlClient")
private val AUTHENTICATED = AttributeKey.valueOf<Boolean>("corneltrack.trusted")

/** Records the bytes sent to and received from an address. */
public typealias TrafficCounter = (address: String, sent: Long, received: Long) -> Unit

/**
 * Sends control requests over persistent connections, with one request at a time on each.
 *
 * All requests to one address must have the same secret, or none, because it is sent only once on each connection.
 * A connection whose response times out is closed and not used again, so that a late response is not taken for that of
 * another request. The idle connections to the same address are closed with it, because whatever made one of them
 * unresponsive has probably affected them all. An idle connection on which data arrives is closed too, because the data
 * can only belong to an earlier request.
 */
public class ControlClient(
    private val group: EventLoopGroup,
    private val traffic: TrafficCounter = { _, _, _ -> },
) {
    private val idle = ConcurrentHashMap<String, ConcurrentLinkedDeque<Channel>>()

    /**
     * Sends [request] to [address] (host and port) and returns its result.
     *
     * @param timeoutMs the time limit for the response, in ms; 2 s by default.
     */
    public fun send(
        address: String,
        request: ControlRequest,
        timeoutMs: Long = DEFAULT_TIMEOUT_MS,
    ): CompletableFuture<ControlResult> {
        val result = CompletableFuture<ControlResult>()
        val target = HostAndPort.parse(address)
        if (target == null) {
            result.complete(ControlResult.NotSent("invalid address '$address': expected host:port"))
        } else {
            start(Call(address, target, request, timeoutMs, result))
        }
        return result
    }

    /** Sends [call] on an idle connection, unless data has closed it by then, or on a new one. */
    private fun start(call: Call) {
        val reused = idle[call.address]?.pollFirst()
        if (reused == null) {
            connect(call)
            return
        }
        reused.eventLoop().execute {
            if (reused.isActive) {
                reused.endIdle()
                reused.exchange(call)
            } else {
                start(call)
            }
        }
    }

    private fun connect(call: Call) {
        val connecting = Bootstrap()
            .group(group)
            .channel(ClientSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, minOf(CONNECT_TIMEOUT_MS, call.timeoutMs.toInt()))
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(
                        ByteCountingHandler { sent, received -> traffic(call.address, sent, received) },
                        UncleanCloseDetector(),
                        HttpRequestEncoder(),
                        ResponseDecoder(),
                        HttpContentDecompressor(MAXIMUM_RESPONSE_BYTES),
                        HttpObjectAggregator(MAXIMUM_RESPONSE_BYTES),
                    )
                }
            })
            .connect(call.target.toSocketAddress())
        connecting.addListener {
            if (connecting.isSuccess) {
                connecting.channel().exchange(call)
            } else {
                call.result.complete(ControlResult.NotSent(connecting.cause().message ?: "connect failed"))
            }
        }
    }

    private fun Channel.exchange(call: Call) {
        val timer = eventLoop().schedule({
            discardIdle(call.address)
            close()
            call.result.complete(ControlResult.NoResponse("no answer within ${call.timeoutMs} ms"))
        }, call.timeoutMs, TimeUnit.MILLISECONDS)
        val sent = newPromise()
        responseDecoder.expect(call.request.method)
        pipeline().addLast(
            ResponseHandler(call.id, call.result) { response, keepAlive ->
                timer.cancel(false)
                // Behind a request that is not wholly sent, another would wait for a server that may read no further.
                val reusable = keepAlive && sent.isSuccess
                if (reusable) release(call.address, this)
                call.result.complete(response)
                if (!reusable) close()
            },
        )
        val authenticated = attr(AUTHENTICATED).getAndSet(true) == true
        writeAndFlush(call.encode(withSecret = !authenticated), sent).addListener {
            if (!sent.isSuccess) {
                call.result.complete(ControlResult.NoResponse(sent.cause().message ?: "write failed"))
                close()
            }
        }
    }

    private fun discardIdle(address: String) {
        val queue = idle[address] ?: return
        generateSequence { queue.pollFirst() }.forEach { it.close() }
    }

    private fun release(address: String, channel: Channel) {
        val queue = idle.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        if (!channel.isActive || queue.size >= MAXIMUM_IDLE_CONNECTIONS) {
            channel.close()
        } else if (channel.beginIdle({ logUnrequestedData(address) }) { queue.remove(channel) }) {
            queue.addFirst(channel)
        } else {
            logUnrequestedData(address)
            channel.close()
        }
    }
}

/** Holds a request, where it goes and what receives its result. */
private data class Call(
    val address: String,
    val target: HostAndPort,
    val request: ControlRequest,
    val timeoutMs: Long,
    val result: CompletableFuture<ControlResult>,
) {
    /** Tells the responses to this call from those to others on its connection. */
    val id: String = java.lang.Long.toHexString(ThreadLocalRandom.current().nextLong())

    /** Returns the message that carries the request. */
    fun encode(withSecret: Boolean): DefaultFullHttpRequest =
        request.encode(address, withSecret).apply { headers().set(CALL_HEADER, id) }
}

private fun logUnrequestedData(address: String) =
    logger.event("control_unrequested_data", Level.WARN) { field("address", address) }

private fun ControlRequest.encode(address: String, withSecret: Boolean): DefaultFullHttpRequest {
    val payload = Unpooled.wrappedBuffer(content.bytes)
    val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, payload)
    message.headers().set(HttpHeaderNames.HOST, address)
    if (payload.isReadable) {
        message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, payload.readableBytes())
    }
    ifNoneMatch?.let { message.headers().set(HttpHeaderNames.IF_NONE_MATCH, it) }
    if (method == HttpMethod.GET) {
        message.headers().set(HttpHeaderNames.ACCEPT_ENCODING, HttpHeaderValues.GZIP)
    }
    secret?.takeIf { withSecret }?.let { message.headers().set(HttpHeaderNames.AUTHORIZATION, "Bearer $it") }
    return message
}

/**
 * Receives the response to the call [id].
 *
 * A response that states no call is believed, since some servers never state one.
 */
private class ResponseHandler(
    private val id: String,
    private val result: CompletableFuture<ControlResult>,
    private val onResponse: (response: ControlResult.Responded, keepAlive: Boolean) -> Unit,
) : SimpleChannelInboundHandler<FullHttpResponse>() {
    override fun channelRead0(context: ChannelHandlerContext, message: FullHttpResponse) {
        if (message.status().codeClass() == HttpStatusClass.INFORMATIONAL) return
        val fault = faultOf(message)
        if (fault != null) {
            result.complete(ControlResult.NoResponse(fault))
            context.close()
            return
        }
        val content = Content(ByteBufUtil.getBytes(message.content()))
        val entityTag = message.headers().get(HttpHeaderNames.ETAG)
        context.pipeline().remove(this)
        val headers = message.headers().groupBy({ it.key.lowercase() }, { it.value })
        val response = ControlResult.Responded(message.status().code(), content, entityTag, headers)
        onResponse(response, HttpUtil.isKeepAlive(message))
    }

    /** Returns why [message] is not the response to the call, or null. */
    private fun faultOf(message: FullHttpResponse): String? = when {
        message.decoderResult().isFailure || message.containsStatusLine -> "unreadable response"
        message.headers().getAll(CALL_HEADER).any { it != id } -> "a response to another call"
        else -> null
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        result.complete(ControlResult.NoResponse("connection closed before the response"))
        context.fireChannelInactive()
    }

    @Deprecated("Netty keeps this method for inbound handlers")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        result.complete(ControlResult.NoResponse(cause.message ?: cause.javaClass.simpleName))
        context.close()
    }
}

/** Reports the bytes that a connection sends and receives to [count]. */
public class ByteCountingHandler(private val count: (sent: Long, received: Long) -> Unit) : ChannelDuplexHandler() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) count(0, message.readableBytes().toLong())
        context.fireChannelRead(message)
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message is ByteBuf) count(message.readableBytes().toLong(), 0)
        context.write(message, promise)
    }
}
