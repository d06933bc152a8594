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
 * Fakes a plain service whose calls aren't idempotent, and counts how often each call has run.
 *
 * @param serviceTimeMs the time that one call takes, in ms.
 * @param runs the number of runs by request body; several fakes may share one map.
 */
public class FakePlainService(
    group: EventLoopGroup,
    private val serviceTimeMs: Long = DEFAULT_SERVICE_TIME_MS,
    public val runs: ConcurrentHashMap<String, AtomicInteger> = ConcurrentHashMap(),
) : AutoCloseable {
    private val running = AtomicInteger()
    private val server = FakeEndpointServer(group, ::onRequest) { }

    /** The address of the service, as `host:port`. */
    public val address: String get() = "127.0.0.1:${server.port}"

    /** Starts listening. */
    public fun start(): FakePlainService = apply { server.start().syncUninterruptibly() }

    /** Stops listening and closes all connections. */
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
