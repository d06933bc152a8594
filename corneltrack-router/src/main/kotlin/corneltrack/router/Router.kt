package corneltrack.router

import corneltrack.policy.LeaseTimes
import corneltrack.policy.Suspicion
import corneltrack.router.callers.CallerConnection
import corneltrack.router.callers.CallerConnections
import corneltrack.router.callers.CallerServer
import corneltrack.router.callers.ConnectionLimits
import corneltrack.wire.ControlClient
import corneltrack.wire.ControlRequest
import corneltrack.wire.ControlServer
import corneltrack.wire.FleetListClient
import corneltrack.wire.LogClient
import corneltrack.wire.RouterStatus
import corneltrack.wire.WorkspaceStatus
import corneltrack.wire.event
import corneltrack.wire.wireJson
import corneltrack.world.Cell
import corneltrack.world.DataCentreId
import corneltrack.world.Instance
import corneltrack.world.InstanceId
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.serialization.encodeToString
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.util.UUID
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

private const val TICK_MS = 40L
private const val EXPIRY_PERIOD_TICKS = 6

/** Requests that have waited this long are refused if no lease has been valid in that time. */
private const val ISOLATION_TIMEOUT_MS = 6_000L

/** The size counted for the HTTP head of an exchange request, of which only the body size is known. */
private const val REQUEST_HEAD_BYTES = 76L

/** The size counted for the HTTP head of an exchange response. */
private const val RESPONSE_HEAD_BYTES = 40L
private const val DRAIN_POLL_MS = 50L

/** The minimum duration of a drain, in which the routers that report to this one learn of the release of leases. */
private const val MINIMUM_DRAIN_MS = 1_500L
private const val INCARNATION_LENGTH = 12
internal const val SUSPICION_PATH: String = "/peer/suspicion"
private val logger = LogManager.getLogger("corneltrack.router.Router")

/**
 * One router: the server for callers' requests, the control API and the periodic tasks behind them.
 *
 * Allocators, exchanges and the configuration are handled on one control thread, callers' requests on worker threads.
 */
public class Router(private val settings: RouterSettings) : AutoCloseable {
    private val incarnation = UUID.randomUUID().toString().replace("-", "").take(INCARNATION_LENGTH)
    private val clock = monotonicClock
    private val times = LeaseTimes()
    private val workers = eventLoops(settings.threads, "worker")
    private val controlLoops = eventLoops(1, "control")
    private val control: ScheduledExecutorService = controlLoops.next()
    private val metrics = RouterMetrics(settings)
    private val views = RouterViews(settings)
    private val platformClient = ControlClient(controlLoops) { _, sent, received ->
        metrics.onPlatformTraffic(sent, received)
    }
    private val log = LogClient(platformClient, settings.platform.log)
    private val controlClient = ControlClient(controlLoops) { address, sent, received ->
        metrics.onControlTraffic(dataCentreAt(address), sent, received)
    }
    private val peers = PeerClient(controlClient, settings.secret)
    private val endpointLoads = EndpointLoadClient(controlClient)
    private val crashDetector = CrashDetector(endpointLoads, clock, wallClock, ::shareSuspicion)
    private val runner = RequestRunner(views, settings, clock, crashDetector, metrics)
    private val context = RouterContext(settings, views, runner, peers, clock)
    private val configurationReader = ConfigurationReader(log, views, control, clock)
    private val fleetPoller = FleetListPoller(
        FleetListClient(platformClient, settings.platform.instances, settings.id.value),
        views,
        control,
        clock
    )
    private val allocators = HostedAllocators(settings, incarnation, views, times, clock)
    private val loadPoller = EndpointLoadPoller(context, allocators, endpointLoads, control)
    private val snapshotter = ConfigurationSnapshotter(settings, views, log, configurationReader, clock)
    private val peerConfiguration = PeerConfigurationFetcher(settings.id, views, peers, clock)
    private val reportExchanger =
        ReportExchanger(context, incarnation, times, control, allocators::exchange, peerConfiguration::onOffset)
    private val loanExchanger =
        LoanExchanger(context, incarnation, allocators, control, ::allocatorOf, peerConfiguration::onOffset)
    private val claimStream = ClaimStream(log, control, settings.limits.claimRetentionMs, wallClock)
    private val idempotentRequests = IdempotentRequests(context, incarnation, claimStream, wallClock)
    private val gateway = Gateway(views, settings, runner, idempotentRequests, clock)
    private val controlApi =
        ControlApi(ApiDelegate(), allocators, views, idempotentRequests.claimOutcomes, crashDetector, control)
    private val connections = CallerConnections()
    private val connectionLimits = ConnectionLimits(bodyBytes = settings.limits.bodyBytes)
    private val callers = CallerServer(workers, connections::admits) {
        CallerConnection(connectionLimits, connections, gateway::handle)
    }
    private val controlServer = ControlServer(controlLoops, settings.secret, UNAUTHENTICATED_PATHS, controlApi::handle)
    private var ticks = 0L

    @Volatile
    private var draining = false

    /**
     * Binds the servers and starts to read the configuration and the instance list.
     *
     * @throws java.io.IOException if an address is in use.
     */
    public fun start(): Router {
        controlServer.start(settings.control)
        callers.start(settings.callers)
        configurationReader.start()
        fleetPoller.start()
        control.scheduleAtFixedRate(::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
        logger.event("router_started") {
            field("instance", settings.id)
            field("incarnation", incarnation)
            field("callers", settings.callers)
            field("control", settings.control)
        }
        return this
    }

    /**
     * Drains this router.
     *
     * It refuses new requests, releases the leases of its allocators and waits for the open requests to end.
     *
     * @return whether all requests ended within `drainMs` of the settings.
     */
    public fun drain(): Boolean {
        logger.event("router_draining") { field("open", runner.openRequests) }
        draining = true
        gateway.drain()
        connections.startDraining()
        control.execute { allocators.releaseLeases() }
        val startedMs = clock()
        while (clock() - startedMs < MINIMUM_DRAIN_MS || !isIdle()) {
            if (clock() - startedMs > settings.limits.drainMs) break
            Thread.sleep(DRAIN_POLL_MS)
        }
        val drained = isIdle()
        logger.event("router_drained") { field("complete", drained) }
        return drained
    }

    override fun close() {
        callers.close()
        connections.awaitClosed(clock)
        controlServer.close()
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        controlLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    private fun isIdle(): Boolean = runner.openRequests == 0 && connections.pendingRequests == 0

    private fun tick() {
        runCatching {
            reportExchanger.tick()
            peerConfiguration.tick()
            loanExchanger.tick()
            loadPoller.tick()
            connections.checkReaders(clock())
            if (ticks++ % EXPIRY_PERIOD_TICKS == 0L) {
                snapshotter.tick()
                runner.expire(clock(), ISOLATION_TIMEOUT_MS)
            }
        }.onFailure { fault ->
            logger.event("tick_failed", Level.ERROR) { field("reason", fault.stackTraceToString()) }
        }
    }

    private fun allocatorOf(cell: Cell): Instance? = reportExchanger.planner.allocatorOf(cell, views.current, clock())

    private fun shareSuspicion(suspicion: Suspicion) {
        val body = wireJson.encodeToString(suspicion)
        val request = ControlRequest(HttpMethod.POST, SUSPICION_PATH, body, settings.secret)
        views.current.fleet.instances.filter { it.id != settings.id }
            .forEach { controlClient.send(it.address, request) }
    }

    private fun dataCentreAt(address: String): DataCentreId {
        val fleet = views.current.fleet
        return fleet.instances.firstOrNull { it.address == address }?.dataCentre
            ?: fleet.endpoints.firstOrNull { it.address == address }?.dataCentre
            ?: settings.dataCentre
    }

    private inner class ApiDelegate : ControlApiDelegate {
        override val ready: Boolean
            get() = !draining &&
                views.current.configuration.loaded &&
                views.current.fleetLoaded &&
                runner.hasLease(clock())

        override fun status(): RouterStatus = RouterStatus(
            id = settings.id,
            incarnation = incarnation,
            dataCentre = settings.dataCentre,
            ready = ready,
            configurationOffset = views.current.configuration.offset,
            configurationVersion = views.current.configuration.version,
            logAgeMs = configurationReader.ageMs(clock()),
            listAgeMs = fleetPoller.ageMs(clock()),
            openRequests = runner.openRequests,
            allocates = allocators.status(),
            workspaces = runner.pools().flatMap { it.workspaceStatus(clock()) },
            quarantined = crashDetector.quarantined(),
        )

        override fun onPeerOffset(peer: InstanceId, offset: Long) = peerConfiguration.onOffset(peer, offset)

        override fun onPeerTraffic(peer: InstanceId, sent: Int, received: Int) {
            val from = views.current.instances[peer]?.dataCentre ?: settings.dataCentre
            metrics.onControlTraffic(from, sent.toLong() + RESPONSE_HEAD_BYTES, received.toLong() + REQUEST_HEAD_BYTES)
        }

        override fun metrics(): String = metrics.exposition(
            runner.openRequests,
            views.current.configuration.offset,
            claimStream.keyCount,
        )
    }
}

private fun PoolScheduler.workspaceStatus(nowMs: Long): List<WorkspaceStatus> {
    val snapshot = snapshot(nowMs)
    val running = snapshot.slotsInUse.values.flatMap { it.workspaces.entries }.groupBy({ it.key }, { it.value })
    return (snapshot.waiting.keys + running.keys + servedCosts.workspaces()).map { workspace ->
        WorkspaceStatus(
            pool,
            workspace,
            snapshot.waiting[workspace]?.count ?: 0,
            running[workspace].orEmpty().sum(),
            servedCosts.total(workspace),
        )
    }
}

private fun eventLoops(threads: Int, name: String): EventLoopGroup =
    MultiThreadIoEventLoopGroup(threads, DefaultThreadFactory(name), NioIoHandler.newFactory())
