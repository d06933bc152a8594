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
 * @property batchSlots the requests that it runs at once when warm; further ones are refused with status 503.
 * @property coldStartLimit the requests that it bears in cold start; with more it falls over.
 * @property coldStartMs the length of a cold start, in ms.
 * @property prefillMs the time to the first token, in ms.
 * @property decodeMsPerToken the time between tokens, in ms.
 * @property loadLagMs how far its published load lags behind, in ms.
 * @property restartDelayMs how long it is gone after a crash, in ms.
 * @property resumable whether it keeps streams that nobody reads, to be read on later.
 */
public data class EngineBehaviour(
    val batchSlots: Int = 8,
    val coldStartLimit: Int = 2,
    val coldStartMs: Long = 2_000,
    val prefillMs: Long = 20,
    val decodeMsPerToken: Long = 5,
    val loadLagMs: Long = 200,
    val restartDelayMs: Long = 1_000,
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
    private val runningRequests = ConcurrentHashMap<GenerationRequest, Channel>()
    private val streamRegistry = StreamRegistry(group)
    private val incarnations = AtomicInteger()
    private val server = FakeEndpointServer(group, ::onRequest, ::onClosed)

    @Volatile
    private var startedAtMs = nowMs()

    @Volatile
    private var coldStartEndsMs = 0L

    @Volatile
    private var publishedLoad = EndpointLoad("0", 0)

    /** The requests started since the stand-in began. */
    public val startedRequests: AtomicLong = AtomicLong()

    /** The times at which it was given more than it bears in cold start. */
    public val coldStartOverloads: AtomicInteger = AtomicInteger()

    /** The times at which it was given more than its batch when warm. */
    public val refusedRequests: AtomicInteger = AtomicInteger()

    /** The crashes so far, of either cause. */
    public val crashes: AtomicInteger = AtomicInteger()

    /** The requests that run now. */
    public val runningRequestCount: Int get() = runningRequests.size

    /** Host and port of the engine. */
    public val address: String get() = "127.0.0.1:${server.port}"

    /** Starts the engine, cold. */
    public fun start(): FakeModelEngine = apply {
        startIncarnation().syncUninterruptibly()
        publishLoad()
    }

    /** Turns the engine cold without a restart, as when its weights are evicted. */
    public fun enterColdStart() {
        coldStartEndsMs = nowMs() + behaviour.coldStartMs
    }

    /** Crashes the engine; it comes back, cold, after a while. */
    public fun crash() {
        crashes.incrementAndGet()
        server.crash()
        runningRequests.clear()
        streamRegistry.clear()
        group.schedule({ startIncarnation() }, behaviour.restartDelayMs, TimeUnit.MILLISECONDS)
    }

    override fun close(): Unit = server.close()

    private fun startIncarnation(): ChannelFuture {
        incarnations.incrementAndGet()
        startedAtMs = nowMs()
        coldStartEndsMs = nowMs() + behaviour.coldStartMs
        return server.start()
    }

    private fun publishLoad() {
        val incarnation = "${System.identityHashCode(this)}-${incarnations.get()}"
        val load = EndpointLoad(incarnation, runningRequests.size, isInColdStart(), nowMs() - startedAtMs)
        group.schedule({
            publishedLoad = load
            publishLoad()
        }, behaviour.loadLagMs, TimeUnit.MILLISECONDS)
    }

    private fun isInColdStart(): Boolean = nowMs() < coldStartEndsMs

    private fun onRequest(context: ChannelHandlerContext, request: FullHttpRequest) {
        when {
            request.uri() == "/load" ->
                context.respondJson(wireJson.encodeToString(publishedLoad.copy(uptimeMs = nowMs() - startedAtMs)))
            request.uri().startsWith(STREAMS_PATH) -> streamRegistry.onRequest(context, request)
            else -> generate(context, request)
        }
    }

    /** A resumable engine goes on with what nobody reads any more. */
    private fun onClosed(channel: Channel) {
        if (!behaviour.resumable) {
            runningRequests.values.remove(channel)
        }
    }

    private fun generate(context: ChannelHandlerContext, request: FullHttpRequest) {
        val generationRequest = parseGenerationRequest(request)
        startedRequests.incrementAndGet()
        val limit = if (isInColdStart()) behaviour.coldStartLimit else behaviour.batchSlots
        when {
            CRASH_MARK in generationRequest.prompt -> crash()
            runningRequests.size < limit -> {
                runningRequests[generationRequest] = context.channel()
                val releaseSlot = { runningRequests.remove(generationRequest) != null }
                val run = GenerationRun(context.executor(), generationRequest, behaviour, releaseSlot)
                streamRegistry.register(request, run)
                run.start(context)
            }
            isInColdStart() -> {
                coldStartOverloads.incrementAndGet()
                crash()
            }
            else -> {
                refusedRequests.incrementAndGet()
                context.respondJson("{\"error\":{\"message\":\"busy\"}}", HttpResponseStatus.SERVICE_UNAVAILABLE)
            }
        }
    }
}

internal fun nowMs(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
