package corneltrack.testbed

import corneltrack.router.EndpointLoad
import corneltrack.wire.wireJson
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.FullHttpRequest
import kotlinx.serialization.encodeToString
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val DEFAULT_SERVICE_TIME_MS = 20L

/**
 * Stands in for a plain service whose calls must not be repeated; counts the runs of each call by its body.
 *
 * @param serviceTimeMs the time of one call, in ms.
 * @param runs the counts, which several stand-ins may share.
 */
public class FakePlainService(
    group: EventLoopGroup,
    private val serviceTimeMs: Long = DEFAULT_SERVICE_TIME_MS,
    public val runs: ConcurrentHashMap<String, AtomicInteger> = ConcurrentHashMap(),
) : AutoCloseable {
    private val running = AtomicInteger()
    private val server = FakeEndpointServer(group, ::onRequest) { }

    /** Host and port of the service. */
    public val address: String get() = "127.0.0.1:${server.port}"

    /** Starts to listen. */
    public fun start(): FakePlainService = apply { server.start().syncUninterruptibly() }

    /** Breaks all connections and stops to listen. */
    public fun crash(): Unit = server.crash()

    override fun close(): Unit = server.close()

    private fun onRequest(context: ChannelHandlerContext, request: FullHttpRequest) {
        if (request.uri() == "/load") {
            context.respondJson(wireJson.encodeToString(EndpointLoad("plain", running.get())))
            return
        }
        val call = request.content().toString(Charsets.UTF_8)
        runs.computeIfAbsent(call) { AtomicInteger() }.incrementAndGet()
        running.incrementAndGet()
        context.executor().schedule({
            running.decrementAndGet()
            context.respondJson("{\"done\":\"$call\"}")
        }, serviceTimeMs, TimeUnit.MILLISECONDS)
    }
}
