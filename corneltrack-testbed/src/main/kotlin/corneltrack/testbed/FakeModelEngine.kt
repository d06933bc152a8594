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

/** A text that crashes the engine when a prompt contains it. */
public const val CRASH_MARK: String = "<<crash>>"

/**
 * Configures a [FakeModelEngine].
 *
 * @property batchSlots the number of concurrent requests that it accepts when warm; further ones get status 503.
 * @property coldStartLimit the number of concurrent requests that it withstands in cold start; one more crashes it.
 * @property coldStartMs the duration of a cold start, in ms.
 * @property prefillMs the time from the start of a request to its first token, in ms.
 * @property decodeMsPerToken the time between two tokens of a response, in ms.
 * @property loadLagMs the interval at which it publishes its load, which is as old by then, in ms.
 * @property restartDelayMs the time from a crash to the restart, in ms.
 * @property resumable whether it goes on generating when the connection closes, so that the stream can be resumed.
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
 * Fakes a model engine: continuous batching, streamed tokens, crashes, and cold starts during which overload is fatal.
 *
 * Each token of a response repeats the first word of the prompt, so that a caller can detect another caller's response.
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

    /** The number of generation requests received, including refused ones, across restarts. */
    public val receivedRequests: AtomicLong = AtomicLong()

    /** The number of crashes caused by a request above the cold-start limit. */
    public val coldStartOverloads: AtomicInteger = AtomicInteger()

    /** The number of requests refused because all batch slots of the warm engine were taken. */
    public val refusedRequests: AtomicInteger = AtomicInteger()

    /** The number of crashes of any cause. */
    public val crashes: AtomicInteger = AtomicInteger()

    /** The number of requests that are running now. */
    public val runningRequestCount: Int get() = runningRequests.size

    /** The address of the engine, as `host:port`. */
    public val address: String get() = "127.0.0.1:${server.port}"

    /** Starts the engine, which begins with a cold start. */
    public fun start(): FakeModelEngine = apply {
        startIncarnation().syncUninterruptibly()
        publishLoad()
    }

    /** Begins a cold start without a restart, as after an eviction of the model weights. */
    public fun enterColdStart() {
        coldStartEndsMs = nowMs() + behaviour.coldStartMs
    }

    /** Crashes the engine, which restarts after [EngineBehaviour.restartDelayMs] with a cold start. */
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

    /** Cancels the request of the closed connection, unless the engine is resumable. */
    private fun onClosed(channel: Channel) {
        if (!behaviour.resumable) {
            runningRequests.values.remove(channel)
        }
    }

    private fun generate(context: ChannelHandlerContext, request: FullHttpRequest) {
        val generationRequest = parseGenerationRequest(request)
        receivedRequests.incrementAndGet()
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
