package corneltrack.testbed

import corneltrack.wire.AppendResult
import corneltrack.wire.CONFIGURATION_STREAM
import corneltrack.wire.ControlClient
import corneltrack.wire.ControlRequest
import corneltrack.wire.ControlResult
import corneltrack.wire.LogClient
import corneltrack.wire.RouterStatus
import corneltrack.wire.wireJson
import corneltrack.world.Change
import corneltrack.world.ChangeRecord
import corneltrack.world.ConfigurationEntry
import corneltrack.world.DataCentreId
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.FleetList
import corneltrack.world.Instance
import corneltrack.world.InstanceId
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.encodeToString
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID
import java.util.concurrent.TimeUnit

private const val THREADS = 3
private const val AWAIT_POLL_MS = 20L
private const val DEFAULT_TIMEOUT_MS = 60_000L

/** The secret of test fleets' control surfaces. */
public const val FLEET_SECRET: String = "a-secret-of-test-fleets"

/**
 * Runs a whole fleet on loopback: real router processes before stand-ins of the platform and of the endpoints.
 *
 * @param program the router build to run; null runs that of this process.
 */
public class TestFleet(public val plan: FleetPlan, private val program: File? = null) : AutoCloseable {
    /** The event loops of all stand-ins. */
    public val group: MultiThreadIoEventLoopGroup = MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory())

    /** Where settings and log files of the routers are. */
    public val folder: Path = Files.createTempDirectory("corneltrack-fleet")

    /** The proxies on the links of the routers, into which faults can be injected. */
    public val proxies: FleetProxies = FleetProxies(plan, group)

    /** The log. */
    public val log: FakeLog = FakeLog(group)

    /** The instance list. */
    public val list: FakeInstanceList = FakeInstanceList(group, plan.listLagMs) { requester, fleet ->
        proxies.withProxyAddresses(requester, fleet)
    }

    /** The model engines by endpoint. */
    public val engines: Map<EndpointId, FakeModelEngine> = plan.dataCentres.flatMap { dataCentre ->
        (1..dataCentre.engines).map {
            EndpointId("${dataCentre.id}-engine-$it") to FakeModelEngine(group, plan.engine)
        }
    }.toMap()

    /** The plain services by endpoint. */
    public val services: Map<EndpointId, FakePlainService> = plan.dataCentres.flatMap { dataCentre ->
        (1..dataCentre.services).map {
            EndpointId("${dataCentre.id}-service-$it") to FakePlainService(group, plan.serviceMs)
        }
    }.toMap()

    /** The router processes. */
    public lateinit var routers: List<RouterProcess>
        private set

    private val client = ControlClient(group)

    /** Starts everything and waits until every router is ready. */
    public fun start(): TestFleet = apply {
        log.start()
        list.start()
        engines.values.forEach { it.start() }
        services.values.forEach { it.start() }
        routers = plan.dataCentres.flatMap { dataCentre ->
            (1..dataCentre.routers).map { router("${dataCentre.id}-router-$it", dataCentre) }
        }
        val members = FleetList(instances(), endpoints())
        routers.forEach { proxies.withProxyAddresses(it.id, members) }
        list.update { members }
        plan.firstChanges.forEach { change(it) }
        routers.forEach { it.start() }
        await("all routers ready") { routers.all { isReady(it) } }
    }

    /** Appends [change] as an operator would. Returns the offset that it was given. */
    public fun change(change: Change, basedOn: Long = Long.MAX_VALUE): Long {
        val record = ChangeRecord(UUID.randomUUID().toString(), basedOn, "test", "test", 0, change)
        val data = wireJson.encodeToString<ConfigurationEntry>(record)
        val result = LogClient(client, log.address).append(CONFIGURATION_STREAM, data).join()
        return (result as AppendResult.Appended).offset
    }

    /** Returns the status of [router], or null where it does not answer. */
    public fun status(router: RouterProcess): RouterStatus? =
        get(router, "/status")?.let { wireJson.decodeFromString<RouterStatus>(it) }

    /** Returns the answer of [router]'s control surface at [path], or null where it does not answer well. */
    public fun get(router: RouterProcess, path: String): String? {
        val request = ControlRequest(HttpMethod.GET, path, secret = FLEET_SECRET)
        val result = client.send(router.control, request).join()
        return (result as? ControlResult.Responded)?.takeIf { it.ok }?.body
    }

    /** Returns whether [router] takes requests. */
    public fun isReady(router: RouterProcess): Boolean = get(router, "/ready") != null

    override fun close() {
        if (::routers.isInitialized) {
            routers.forEach { it.kill() }
        }
        proxies.close()
        log.close()
        list.close()
        engines.values.forEach { it.close() }
        services.values.forEach { it.close() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        folder.toFile().deleteRecursively()
    }

    private fun instances(): List<Instance> = plan.dataCentres.flatMap { dataCentre ->
        routers.filter { it.id.startsWith("${dataCentre.id}-") }
            .map { Instance(InstanceId(it.id), dataCentre.id, it.control) }
    }

    private fun endpoints(): List<Endpoint> =
        engines.map { (id, engine) -> Endpoint(id, DRAFTS, dataCentreOf(id), engine.address) } +
            services.map { (id, service) -> Endpoint(id, ORDERS, dataCentreOf(id), service.address) }

    private fun dataCentreOf(id: EndpointId): DataCentreId = DataCentreId(id.value.substringBefore('-'))

    private fun router(id: String, dataCentre: PlannedDataCentre): RouterProcess {
        val callers = "127.0.0.1:${freePort()}"
        val control = "127.0.0.1:${freePort()}"
        val logAddress = proxies.proxyFor(id, "log") { log.address }.address
        val listAddress = proxies.proxyFor(id, "list") { list.address }.address
        val settings = RouterAddresses(id, dataCentre.id, callers, control, logAddress, listAddress).settings(plan)
        return RouterProcess(id, callers, control, settings, folder, program)
    }
}

private fun RouterAddresses.settings(plan: FleetPlan): String {
    val centres = plan.dataCentres.joinToString { "{\"id\": \"${it.id}\", \"region\": \"${it.region}\"}" }
    return """
        {"id": "$id", "dataCentre": "$dataCentre", "secret": "$FLEET_SECRET",
         "callers": {"host": "127.0.0.1", "port": ${callers.substringAfter(':')}},
         "control": {"host": "127.0.0.1", "port": ${control.substringAfter(':')}},
         "platform": {"log": "$log", "instances": "$list"},
         "dataCentres": [$centres], "limits": {"claimRetentionMs": ${plan.claimRetentionMs}}}
    """.trimIndent()
}

/** Where one router listens and whom it follows. */
private data class RouterAddresses(
    val id: String,
    val dataCentre: DataCentreId,
    val callers: String,
    val control: String,
    val log: String,
    val list: String,
)

/** Waits until [condition] holds; fails with [what] after [timeoutMs], one minute by default. */
public fun await(what: String, timeoutMs: Long = DEFAULT_TIMEOUT_MS, condition: () -> Boolean) {
    val untilMs = nowMs() + timeoutMs
    while (!condition()) {
        check(nowMs() < untilMs) { "Waited $timeoutMs ms in vain for: $what" }
        Thread.sleep(AWAIT_POLL_MS)
    }
}
