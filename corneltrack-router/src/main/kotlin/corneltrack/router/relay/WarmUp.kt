package corneltrack.router.relay

import corneltrack.policy.discovery.Clocks
import corneltrack.policy.limits.EventLoopLag
import corneltrack.policy.placement.LoadShedding
import corneltrack.router.callers.CallerConnection
import corneltrack.router.callers.CallerConnections
import corneltrack.router.callers.CallerRequest
import corneltrack.router.callers.ConnectionLimits
import corneltrack.router.callers.Refusal
import corneltrack.router.callers.ResponseSink
import corneltrack.router.callers.addCallerHandlers
import corneltrack.wire.event
import corneltrack.world.WorkspaceId
import corneltrack.world.routing.Route
import corneltrack.world.routing.RoutedPool
import corneltrack.world.routing.RoutingTable
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoop
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.util.concurrent.TimeUnit

/** Beyond the calls after which the JVM compiles a method. */
private const val REQUESTS = 400
private const val REQUESTS_PER_CONNECTION = 4
private const val EVENTS_PER_STREAM = 8
private const val EVENT_BYTES = 100
private const val BODY_BYTES = 4_000
private const val SLICE_MS = 10L
private const val SLICE_INTERVAL_MS = 50L

/** A router with this lag, in ms, has real requests to serve. */
private const val BUSY_LAG_MS = 20L
private const val IDLE_TIMEOUT_MS = 1_000L
private val WORKSPACE = WorkspaceId("warm-up")
private val REFUSAL = Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "warm_up", "No caller gets this.")
private val logger = LogManager.getLogger("corneltrack.router.relay.WarmUp")

/**
 * Runs made-up requests through the code that reads, refuses, places and relays, so that the JVM compiles it.
 *
 * Meant for a flood that reaches a router soon after its start: until its code is compiled, a router reads a fifth as
 * many requests per second. Nothing leaves the process, and load, shares, limits and metrics of requests stay as they
 * are. Done in slices between the requests of callers. Confined to the event loop.
 *
 * @param onDone called at the end with the number of requests.
 */
internal class WarmUp(
    private val settings: RelaySettings,
    private val routingState: RoutingState,
    private val headerMapping: HeaderMapping,
    private val eventLoopLag: EventLoopLag,
    private val clock: Clocks,
    private val onDone: (requests: Int) -> Unit,
) {
    private val load = FleetLoad()
    private val shedding = LoadShedding(EventLoopLag(SLICE_INTERVAL_MS), load.shares)
    private val chooser = TargetChooser(settings, routingState, load, clock, EndpointSelection())
    private val connections = CallerConnections()
    private val memory = ResponseMemory()
    private val body = ByteArray(BODY_BYTES)
    private val event = Unpooled.copiedBuffer("id: 1\ndata: ${"x".repeat(EVENT_BYTES)}\n\n", Charsets.US_ASCII)
    private var done = 0
    private var slices: ScheduledFuture<*>? = null

    /** Starts to run requests on [loop], once the routing table and the endpoints are known. */
    fun start(loop: EventLoop) {
        val scheduled =
            loop.scheduleWithFixedDelay(::runSlice, SLICE_INTERVAL_MS, SLICE_INTERVAL_MS, TimeUnit.MILLISECONDS)
        scheduled.addListener { if (it.cause() != null && !it.isCancelled) onFailed(it.cause()) }
        slices = scheduled
    }

    /** A router that is not warm serves all the same. */
    private fun onFailed(cause: Throwable) = logger.event("warm_up_failed", Level.ERROR) { field("reason", cause) }

    private fun runSlice() {
        val startMs = clock().monotonicMs
        val table = routingState.table
        if (table == null || !routingState.endpointsLoaded || eventLoopLag.lagMs(startMs) > BUSY_LAG_MS) return
        val model = table.modelRoute()
        while (done < REQUESTS && clock().monotonicMs - startMs < SLICE_MS) runConnection(model)
        if (done < REQUESTS) return
        slices?.cancel(false)
        logger.event("warmed_up") { field("requests", done) }
        onDone(done)
    }

    private fun runConnection(model: ModelRoute?) {
        val limits = ConnectionLimits(bodyBytes = BODY_BYTES, idleTimeoutMs = IDLE_TIMEOUT_MS)
        val connection = CallerConnection(limits, connections) { request, _, sink ->
            respond(request, model, sink)
            ({})
        }
        val channel = EmbeddedChannel(CallerHandlers(connection))
        repeat(REQUESTS_PER_CONNECTION) {
            channel.writeInbound(requestBytes())
            channel.runPendingTasks()
            generateSequence { channel.readOutbound<ByteBuf>() }.forEach { it.release() }
            done++
        }
        channel.finishAndReleaseAll()
    }

    private fun respond(request: CallerRequest, model: ModelRoute?, sink: ResponseSink) {
        val nowMs = clock().monotonicMs
        val metadata = headerMapping.readRequest(request.head)
        shedding.decide(WORKSPACE, metadata.cost, nowMs)
        if (model == null || done % 2 == 0) return sink.refuse(REFUSAL)
        val call = call(request, metadata, model, sink, nowMs)
        chooser.choose(call, nowMs)
        stream(call)
    }

    private fun call(
        request: CallerRequest,
        metadata: CallerMetadata,
        model: ModelRoute,
        sink: ResponseSink,
        nowMs: Long,
    ): RelayedCall {
        val deadlineMs = nowMs + model.route.timeoutMs
        return RelayedCall(
            id = WORKSPACE.value,
            requestId = null,
            workspace = WORKSPACE,
            route = model.route,
            pool = model.pool,
            regions = emptySet(),
            generation = metadata.readGeneration(),
            times = CallTimes(nowMs, deadlineMs, deadlineMs, earlierWaitMs = 0),
            message = CallerMessage(request),
            sink = sink,
        )
    }

    private fun stream(call: RelayedCall) {
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        EventStreamDelivery(call, head, memory) {}.use { delivery ->
            repeat(EVENTS_PER_STREAM) { delivery.onContent(event) }
            delivery.deliver()
        }
    }

    private fun requestBytes(): ByteBuf {
        val headers = headerMapping.exampleHeaders.entries.joinToString("") { (name, value) -> "$name: $value\r\n" }
        val head = "POST /warm-up HTTP/1.1\r\n${HttpHeaderNames.HOST}: warm-up\r\n$headers" +
            "${HttpHeaderNames.CONTENT_LENGTH}: ${body.size}\r\n\r\n"
        return Unpooled.wrappedBuffer(head.toByteArray(), body)
    }
}

/** A route and the pool of model engines that serves it. */
private class ModelRoute(val route: Route, val pool: RoutedPool)

private fun RoutingTable.modelRoute(): ModelRoute? {
    val engines = pools.filterValues { it.engine != null }
    return routes.firstNotNullOfOrNull { route ->
        route.pools.firstNotNullOfOrNull { engines[it.pool] }?.let { ModelRoute(route, it) }
    }
}

private class CallerHandlers(private val connection: CallerConnection) : ChannelInitializer<Channel>() {
    override fun initChannel(channel: Channel) {
        channel.pipeline().addCallerHandlers(connection)
    }
}
