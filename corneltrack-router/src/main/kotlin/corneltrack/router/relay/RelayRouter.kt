package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.LeavingEndpoints
import corneltrack.policy.discovery.LeavingSource
import corneltrack.policy.limits.EventLoopLag
import corneltrack.policy.limits.PausedEndpoints
import corneltrack.router.EndpointConnections
import corneltrack.router.callers.BodyMemory
import corneltrack.router.callers.CallerConnection
import corneltrack.router.callers.CallerConnections
import corneltrack.router.callers.CallerMemory
import corneltrack.router.callers.CallerServer
import corneltrack.router.callers.ConnectionLimits
import corneltrack.router.callers.HeldKind
import corneltrack.router.monotonicClock
import corneltrack.router.relay.rollout.AllVersions
import corneltrack.router.relay.rollout.RolloutContext
import corneltrack.router.relay.rollout.RolloutMetrics
import corneltrack.router.relay.rollout.Rollouts
import corneltrack.router.relay.rollout.VersionControl
import corneltrack.router.relay.streams.StreamControl
import corneltrack.router.relay.streams.StreamMetrics
import corneltrack.router.relay.streams.StreamRecords
import corneltrack.router.relay.streams.VersionView
import corneltrack.router.wallClock
import corneltrack.wire.ControlLimits
import corneltrack.wire.ControlRequest
import corneltrack.wire.ControlResponse
import corneltrack.wire.ControlServer
import corneltrack.wire.event
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.routing.RoutingTable
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpResponseStatus
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val CONNECT_TIMEOUT_MS = 400
private const val ENDPOINT_MAXIMUM_IDLE_MS = 2_000L
private const val METRICS_PATH = "/metrics"
private const val METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
private const val MAINTENANCE_INTERVAL_MS = 250L
private const val LAG_SAMPLE_INTERVAL_MS = 100L

/** How long the load balancer may take to notice the failing readiness check and to stop routing callers here. */
private const val ROTATION_EXIT_MS = 2_600L
private const val DRAIN_POLL_MS = 50L
private const val DEFAULT_MAXIMUM_HEAD_BYTES = 16_384
private const val DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024

/** Requests to the readiness port need no body. */
private const val READINESS_BODY_BYTES = 16_384
private val logger = LogManager.getLogger("corneltrack.router.relay.RelayRouter")

/**
 * Runs a router that relays requests according to a routing table from the platform's store.
 *
 * All decisions are made on one event loop, so that their state is not shared between threads.
 *
 * @param eventLoopGroup a group with a single event loop.
 */
public class RelayRouter(
    private val settings: RelaySettings,
    private val eventLoopGroup: EventLoopGroup,
    source: RoutingSource,
    private val headerMapping: HeaderMapping,
) : AutoCloseable {
    private val loop: EventLoop = eventLoopGroup.next()
    private val clock: Clocks = { ClockReading(monotonicClock(), wallClock()) }
    private val metrics = RelayMetrics()
    private val load = FleetLoad(EndpointStates(LeavingEndpoints(::onLeaving), PausedEndpoints(PauseRecorder(metrics))))
    private val storeReads = StoreReadRecorder(metrics.registry)
    private val sharing = RecordSharing(
        { sharesRecords() && peers.isRegionLarge },
        storeReads::onStoreCall,
        storeReads::onRecordsTaken,
    )
    private val routingCallbacks = RoutingCallbacks(
        ::onTable,
        onOrder = { pool, record ->
            rollouts?.reader?.onOrder(pool, record) ?: logger.event("rollout_order_ignored") { field("pool", pool) }
        },
        onListed = { versionView.onListed(it, monotonicClock()) },
    )
    private val routingState =
        RoutingState(source, settings.bounds, loop, clock, RegionRole({ peers.rank() }, sharing), routingCallbacks)
    private val rolloutInbox = RolloutInbox(
        { record -> rollouts?.reader?.onRecord(record) ?: (source.rollouts?.statusPool(record.key) != null) },
        { peer, digests -> rollouts?.reader?.onDigests(peer, digests) },
        { key -> source.rollouts?.statusPool(key) != null },
    )
    private val suspects = CrashSuspects(wallClock) { peers.share(it) }
    private val partSuspects = PartSuspects(wallClock)
    private val eventLoopLag = EventLoopLag(LAG_SAMPLE_INTERVAL_MS)
    private val rotation = RotationControl(settings.id, eventLoopLag, { peers.rotationPeers() }) { peers.shareLoad() }
    private val shared = SharedState(load, partSuspects, { routingState.followers }, sharing, rolloutInbox) {
        RouterDigest(eventLoopLag.lagMs(monotonicClock()), rotation.inRotation)
    }
    private val peers: PeerExchange =
        PeerExchange(settings, source.peers, loop, clock, shared, suspects::onPeerSuspicion)
    private val paceMetrics = PaceMetrics(metrics.registry)
    private val rollouts: Rollouts? = source.rollouts?.takeIf { settings.features.rollouts }?.let { records ->
        val rolloutMetrics = RolloutMetrics(metrics.registry)
        Rollouts(RolloutContext(settings, records, routingState, load.states, peers.link, clock, rolloutMetrics))
    }
    private val versions: VersionControl = rollouts?.control ?: AllVersions
    private val unmatchedResponses = UnmatchedResponseRecorder(metrics.registry)
    private val endpointConnections = EndpointConnections(
        CONNECT_TIMEOUT_MS,
        ENDPOINT_MAXIMUM_IDLE_MS,
        settings.maximumIdleEndpointConnections,
        { unmatchedResponses.onUnrequestedData(it.id, monotonicClock()) },
    ) { _, _, _ -> }
    private val versionView: VersionView = VersionView(routingState.directory) { routingState.endpointList }
    private val streams: StreamControl = StreamControl(
        versionView,
        source.streams?.let { StreamRecords(settings.id, it, clock) },
        clock,
        { peers.known + 1 },
        { routingState.operatorTopic.follower.end.era },
        StreamMetrics(metrics.registry)::onTakenUp,
    )
    private val context = RelayContext(
        loop,
        headerMapping,
        endpointConnections,
        TargetChooser(
            settings,
            routingState,
            load,
            clock,
            EndpointSelection(::hasIdleConnection, versions) { peers.fleetPosition() },
        ),
        RelayEventLog({ routingState.table?.version }, { routingState.tableState }, routingState::endpointAgeMs),
        metrics,
        unmatchedResponses,
        suspects,
        partSuspects,
        load.transfers,
        load.states.leaving,
        load.states.paused,
        settings.bounds,
        eventLoopLag,
        monotonicClock,
        streams,
        versions,
    )
    private val bodyMemory: BodyMemory = BodyMemory(besideBytes = { callerMemory.heldBytes(HeldKind.IN_PROGRESS) })
    private val callerMemory: CallerMemory = settings.callerMemory.newMemory(bodyMemory)
    private val connections = CallerConnections(settings.maximumCallerConnections, bodyMemory, callerMemory) {
        refusals.onBodyRefused(it)
    }
    private val loadReport = LoadReport(eventLoopLag, connections, load.shares, metrics)
    private val refusals: RefusalRecorder = RefusalRecorder(context, eventLoopLag, loadReport)
    private val callHandler =
        CallHandler(routingState, context, load.shares, eventLoopLag, loadReport, refusals)
    private val callers = CallerServer(eventLoopGroup, connections::admits) {
        CallerConnection(connectionLimits, connections) { request, _, sink -> callHandler.handle(request, sink) }
    }
    private val readiness = ControlServer(eventLoopGroup, null, emptySet(), ::onControlRequest)

    @Volatile
    private var connectionLimits =
        ConnectionLimits(DEFAULT_MAXIMUM_HEAD_BYTES, DEFAULT_MAXIMUM_BODY_BYTES).within(settings.callerMemory)

    /** Whether the load balancer should route callers to this router. */
    private val ready: Boolean
        get() = !connections.draining &&
            routingState.tableView != null &&
            routingState.endpointsLoaded &&
            !routingState.keysStale(routingState.operatorAgeMs()) &&
            rollouts?.started != false &&
            rotation.inRotation

    /** Binds the listening addresses and starts to follow the store. Throws if an address is in use. */
    public fun start(): RelayRouter {
        eventLoopLag.onTick(monotonicClock())
        readiness.start(settings.readiness, readinessLimits(settings))
        callers.start(settings.callers)
        peers.start()
        loop.execute(routingState::start)
        loop.execute { streams.start(loop) }
        rollouts?.start(loop)
        WarmUp(settings, routingState, headerMapping, eventLoopLag, clock, metrics::onWarmedUp).start(loop)
        loop.scheduleAtFixedRate(
            ::runMaintenance,
            MAINTENANCE_INTERVAL_MS,
            MAINTENANCE_INTERVAL_MS,
            TimeUnit.MILLISECONDS,
        )
        loop.scheduleWithFixedDelay(::sampleLag, LAG_SAMPLE_INTERVAL_MS, LAG_SAMPLE_INTERVAL_MS, TimeUnit.MILLISECONDS)
        loop.scheduleWithFixedDelay(
            { loadReport.report(peers.known, monotonicClock()) },
            LOAD_REPORT_INTERVAL_MS,
            LOAD_REPORT_INTERVAL_MS,
            TimeUnit.MILLISECONDS,
        )
        logger.event("router_started") {
            field("instance", settings.id)
            field("data_centre", settings.dataCentre)
            field("callers", settings.callers)
        }
        return this
    }

    /**
     * Shuts down gracefully: fails the readiness check, serves requests until the load balancer has stopped routing
     * callers here, then refuses new ones and returns once the open ones have ended.
     *
     * @return whether all requests ended within the drain timeout.
     */
    public fun drain(): Boolean {
        logger.event("router_draining") { field("open", connections.pendingRequests) }
        connections.startDraining()
        loop.execute(peers::withdraw)
        val drainStartMs = monotonicClock()
        while (monotonicClock() - drainStartMs < settings.bounds.drainTimeoutMs) {
            val outOfRotation = monotonicClock() - drainStartMs >= ROTATION_EXIT_MS
            if (outOfRotation) {
                callHandler.closed = true
                connections.closeIdle()
            }
            if (outOfRotation && connections.pendingRequests == 0 && connections.openCount == 0) break
            Thread.sleep(DRAIN_POLL_MS)
        }
        val complete = connections.pendingRequests == 0
        logger.event("router_drained") { field("complete", complete) }
        return complete
    }

    override fun close() {
        callers.close()
        connections.awaitClosed(monotonicClock)
        readiness.close()
    }

    /** Whether a part of the product is in use under which the store's topics change often. */
    private fun sharesRecords() =
        settings.features.rollouts || settings.features.contention || load.states.paceStated

    private fun sampleLag() {
        val nowMs = monotonicClock()
        eventLoopLag.onTick(nowMs)
        loadReport.onLagSample(nowMs)
        rotation.update(nowMs)
        connections.checkReaders(nowMs)
    }

    private fun runMaintenance() {
        try {
            routingState.expire()
            routingState.currency.forEach { it.update(metrics.viewDoubts::onDoubt) }
            val responseBytes = context.responseMemory.heldBytes
            metrics.onHeld(bodyMemory.heldBytes, responseBytes, load.states.prefixCapacity.heldSegments)
            load.states.updatePaceStated()
            paceMetrics.update(load.states, monotonicClock())
            metrics.callers.onHeldBytes(connections.memory)
            val endpoints = routingState.directory.endpoints
            load.states.retain(endpoints.keys)
            load.states.paused.endPassed(monotonicClock()) { endpoints[it]?.entry?.startedAtMs }
        } catch (fault: IllegalStateException) {
            logger.event("tick_failed", Level.ERROR) { field("reason", fault) }
        }
    }

    private fun hasIdleConnection(endpoint: Endpoint, nowMs: Long, maximumIdleMs: Long) =
        endpointConnections.hasIdle(loop, endpoint, nowMs, maximumIdleMs)

    private fun onLeaving(endpoint: EndpointId, source: LeavingSource, ageMs: Long) {
        metrics.onLeaving(source)
        logger.event("endpoint_leaving") {
            field("endpoint", endpoint)
            field("source", source.name.lowercase())
            field("age_ms", ageMs)
        }
    }

    private fun onTable(table: RoutingTable) {
        val limits = table.limits
        connectionLimits =
            ConnectionLimits(limits.headerBytes, limits.bodyBytes, limits.headerTimeoutMs, limits.idleTimeoutMs)
                .within(settings.callerMemory)
    }

    private fun onControlRequest(request: ControlRequest): CompletableFuture<ControlResponse> {
        val response = when (request.path) {
            settings.readinessPath ->
                ControlResponse(if (ready) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE)
            METRICS_PATH -> {
                val text = metrics.text(routingState.operatorAgeMs(), routingState.endpointAgeMs())
                ControlResponse(HttpResponseStatus.OK, text, METRICS_CONTENT_TYPE)
            }
            else -> ControlResponse(HttpResponseStatus.NOT_FOUND)
        }
        return CompletableFuture.completedFuture(response)
    }
}

private fun readinessLimits(settings: RelaySettings) =
    ControlLimits(connections = settings.maximumReadinessConnections, bodyBytes = READINESS_BODY_BYTES)
