package corneltrack.router

import corneltrack.wire.ByteCountingHandler
import corneltrack.wire.ClientSocketChannel
import corneltrack.wire.HostAndPort
import corneltrack.wire.ResponseDecoder
import corneltrack.wire.UncleanCloseDetector
import corneltrack.wire.allWritten
import corneltrack.wire.beginIdle
import corneltrack.wire.endIdle
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.util.AttributeKey
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.atomic.AtomicInteger

private const val CONNECT_TIMEOUT_MS = 1_000
private const val IDLE_TIMEOUT_MS = 10_000L
private const val MAXIMUM_AGE_MS = 300_000L
private const val MAXIMUM_IDLE_PER_EVENT_LOOP = 64
private val OPENED_AT = AttributeKey.valueOf<Long>("corneltrack.openedAt")
private val IDLE_SINCE = AttributeKey.valueOf<Long>("corneltrack.idleSince")

/** Receives the numbers of bytes sent to and received from an endpoint. */
internal typealias RequestTraffic = (endpoint: Endpoint, sent: Long, received: Long) -> Unit

/** Receives an endpoint that sent something on an idle connection, which is closed. */
internal typealias UnrequestedData = (endpoint: Endpoint) -> Unit

/**
 * Opens connections to endpoints and keeps idle ones for reuse, by event loop so that a request stays on one thread.
 *
 * A connection is not reused above a maximum age and idle time, as a proxy or firewall on the path may have dropped it.
 * An idle connection that receives data is closed, because the data can only belong to an earlier request.
 *
 * @param idleTimeoutMs how long a connection may be idle before it is not reused, in ms.
 * @param maximumIdle how many idle connections to all endpoints are kept.
 * @param onUnrequestedData is called on the event loop of a connection that is closed since data arrived on it.
 * @param traffic receives the traffic of each connection.
 */
internal class EndpointConnections(
    private val connectTimeoutMs: Int = CONNECT_TIMEOUT_MS,
    private val idleTimeoutMs: Long = IDLE_TIMEOUT_MS,
    private val maximumIdle: Int = Int.MAX_VALUE,
    private val onUnrequestedData: UnrequestedData = {},
    private val traffic: RequestTraffic,
) {
    private data class Key(val loop: EventLoop, val endpoint: EndpointId, val address: String)

    private val idle = ConcurrentHashMap<Key, ConcurrentLinkedDeque<Channel>>()
    private val idleTotal = AtomicInteger()

    /** The number of idle connections to all endpoints. */
    val idleCount: Int get() = idleTotal.get()

    /** Returns an open idle connection that was last used within [idleTimeoutMs], or null if there is none. */
    fun acquire(loop: EventLoop, endpoint: Endpoint, nowMs: Long, idleTimeoutMs: Long = this.idleTimeoutMs): Channel? {
        val queue = idle[Key(loop, endpoint.id, endpoint.address)]
        val lastUsedMs = queue?.peekFirst()?.attr(IDLE_SINCE)?.get()
        val usable = if (queue == null || lastUsedMs == null || nowMs - lastUsedMs >= idleTimeoutMs) {
            null
        } else {
            generateSequence { queue.pollIdle() }.firstOrNull { it.isUsable(nowMs) }
        }
        usable?.endIdle()
        return usable
    }

    /** Whether an idle connection to [endpoint] was last used within [idleTimeoutMs]. */
    fun hasIdle(loop: EventLoop, endpoint: Endpoint, nowMs: Long, idleTimeoutMs: Long = this.idleTimeoutMs): Boolean {
        val lastUsed = idle[Key(loop, endpoint.id, endpoint.address)]?.peekFirst() ?: return false
        return lastUsed.isActive && nowMs - lastUsed.attr(IDLE_SINCE).get() < idleTimeoutMs
    }

    /** Opens a new connection. */
    fun connect(loop: EventLoop, endpoint: Endpoint, nowMs: Long): ChannelFuture {
        val address = HostAndPort.parse(endpoint.address) ?: HostAndPort("0.0.0.0", 0)
        return Bootstrap()
            .group(loop)
            .channel(ClientSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .attr(OPENED_AT, nowMs)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(
                        ByteCountingHandler { sent, received -> traffic(endpoint, sent, received) },
                        UncleanCloseDetector(),
                        HttpRequestEncoder(),
                        ResponseDecoder(),
                    )
                }
            })
            .connect(address.toSocketAddress())
    }

    /**
     * Makes [channel] available for reuse, or closes it if there are too many idle connections, or if its request has
     * not been written as a whole: the endpoint may read no further.
     */
    fun release(channel: Channel, endpoint: Endpoint, nowMs: Long) {
        val loop = channel.eventLoop() as EventLoop
        val queue = idle.computeIfAbsent(Key(loop, endpoint.id, endpoint.address)) { ConcurrentLinkedDeque() }
        channel.attr(IDLE_SINCE).set(nowMs)
        channel.config().isAutoRead = true
        if (queue.size >= MAXIMUM_IDLE_PER_EVENT_LOOP || idleCount >= maximumIdle || !channel.allWritten) {
            channel.close()
            return
        }
        val guarded = channel.beginIdle({ onUnrequestedData(endpoint) }) {
            if (queue.remove(channel)) idleTotal.decrementAndGet()
        }
        if (!guarded) {
            onUnrequestedData(endpoint)
            channel.close()
            return
        }
        queue.addFirst(channel)
        idleTotal.incrementAndGet()
    }

    private fun ConcurrentLinkedDeque<Channel>.pollIdle(): Channel? = pollFirst()?.also { idleTotal.decrementAndGet() }

    /** Closes the idle connections to [endpoint], after one of its connections broke or reached its idle timeout. */
    fun discard(endpoint: EndpointId) {
        idle.filterKeys { it.endpoint == endpoint }.values.forEach { queue ->
            generateSequence { queue.pollIdle() }.forEach { it.close() }
        }
    }

    private fun Channel.isUsable(nowMs: Long): Boolean {
        val young = nowMs - attr(OPENED_AT).get() < MAXIMUM_AGE_MS && nowMs - attr(IDLE_SINCE).get() < idleTimeoutMs
        val usable = isActive && young
        if (!usable) {
            close()
        }
        return usable
    }
}
