package corneltrack.testbed

import corneltrack.router.EndpointLoad
import corneltrack.wire.wireJson
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.encodeToString
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** A request whose prompt contains this text crashes the engine. */
public const val CRASH_MARK: String = "<<crash>>"

/**
 * Describes how a stand-in engine behaves.
 *
 * @property batch the requests that it runs at once when warm; further ones are refused with status 503.
 * @property coldBatch the requests that it bears in cold start; with more it falls over.
 * @property coldMs the length of a cold start, in ms.
 * @property firstTokenMs the time to the first token, in ms.
 * @property tokenMs the time between tokens, in ms.
 * @property loadLagMs how far its published load lags behind, in ms.
 * @property downMs how long it is gone after a crash, in ms.
 * @property resumable whether it keeps streams that nobody reads, to be read on later.
 */
public data class EngineBehaviour(
    val batch: Int = 8,
    val coldBatch: Int = 2,
    val coldMs: Long = 2_000,
    val firstTokenMs: Long = 20,
    val tokenMs: Long = 5,
    val loadLagMs: Long = 200,
    val downMs: Long = 1_000,
    val resumable: Boolean = false,
)

/**
 * Stands in for a model engine: continuous batching, streamed tokens, cold starts that fall over, crashes.
 *
 * Each token of an answer repeats the first word of the prompt, so that a caller can tell its own answer.
 */
public class FakeModelEngine(
    private val group: EventLoopGroup,
    private val behaviour: EngineBehaviour = EngineBehaviour(),
) : AutoCloseable {
    private val running = ConcurrentHashMap<GenerationRequest, Channel>()
    private val streamRegistry = StreamRegistry(group)
    private val starts = AtomicInteger()
    private val server = FakeEndpointServer(group, ::onRequest, ::onClosed)

    @Volatile
    private var startedMs = nowMs()

    @Volatile
    private var coldUntilMs = 0L

    @Volatile
    private var published = EndpointLoad("0", 0)

    /** The requests started since the stand-in began. */
    public val started: AtomicLong = AtomicLong()

    /** The times at which it was given more than it bears in cold start. */
    public val overruns: AtomicInteger = AtomicInteger()

    /** The times at which it was given more than its batch when warm. */
    public val refusals: AtomicInteger = AtomicInteger()

    /** The crashes so far, of either cause. */
    public val crashes: AtomicInteger = AtomicInteger()

    /** The requests that run now. */
    public val runningNow: Int get() = running.size

    /** Host and port of the engine. */
    public val address: String get() = "127.0.0.1:${server.port}"

    /** Starts the engine, cold. */
    public fun start(): FakeModelEngine = apply {
        begin().syncUninterruptibly()
        publish()
    }

    /** Turns the engine cold without a restart, as when its weights are evicted. */
    public fun turnCold() {
        coldUntilMs = nowMs() + behaviour.coldMs
    }

    /** Crashes the engine; it comes back, cold, after a while. */
    public fun crash() {
        crashes.incrementAndGet()
        server.crash()
        running.clear()
        streamRegistry.clear()
        group.schedule({ begin() }, behaviour.downMs, TimeUnit.MILLISECONDS)
    }

    override fun close(): Unit = server.close()

    private fun begin(): ChannelFuture {
        starts.incrementAndGet()
        startedMs = nowMs()
        coldUntilMs = nowMs() + behaviour.coldMs
        return server.start()
    }

    private fun publish() {
        val incarnation = "${System.identityHashCode(this)}-${starts.get()}"
        val load = EndpointLoad(incarnation, running.size, isCold(), nowMs() - startedMs)
        group.schedule({
            published = load
            publish()
        }, behaviour.loadLagMs, TimeUnit.MILLISECONDS)
    }

    private fun isCold(): Boolean = nowMs() < coldUntilMs

    private fun onRequest(context: ChannelHandlerContext, request: FullHttpRequest) {
        when {
            request.uri() == "/load" ->
                context.respondJson(wireJson.encodeToString(published.copy(uptimeMs = nowMs() - startedMs)))
            request.uri().startsWith(STREAMS_PATH) -> streamRegistry.onRequest(context, request)
            else -> generate(context, request)
        }
    }

    /** A resumable engine goes on with what nobody reads any more. */
    private fun onClosed(channel: Channel) {
        if (!behaviour.resumable) {
            running.values.remove(channel)
        }
    }

    private fun generate(context: ChannelHandlerContext, request: FullHttpRequest) {
        val generationRequest = parseGenerationRequest(request)
        started.incrementAndGet()
        val bears = if (isCold()) behaviour.coldBatch else behaviour.batch
        when {
            CRASH_MARK in generationRequest.prompt -> crash()
            running.size < bears -> {
                running[generationRequest] = context.channel()
                val releaseSlot = { running.remove(generationRequest) != null }
                val run = GenerationRun(context.executor(), generationRequest, behaviour, releaseSlot)
                streamRegistry.register(request, run)
                run.start(context)
            }
            isCold() -> {
                overruns.incrementAndGet()
                crash()
            }
            else -> {
                refusals.incrementAndGet()
                context.respondJson("{\"error\":{\"message\":\"busy\"}}", HttpResponseStatus.SERVICE_UNAVAILABLE)
            }
        }
    }
}

internal fun nowMs(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
