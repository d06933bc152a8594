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

private const val EVENT_LOOP_THREADS = 3
private const val AWAIT_POLL_MS = 20L
private const val DEFAULT_TIMEOUT_MS = 60_000L

/** The shared secret of the control APIs of test fleets. */
public const val FLEET_SECRET: String = "a-secret-of-test-fleets"

/**
 * Runs a fleet on loopback: real router processes, and fakes of the platform's services and of the endpoints.
 *
 * @param program the jar or class directory of the routers; null uses the class path of this process.
 */
public class TestFleet(public val plan: FleetPlan, private val program: File? = null) : AutoCloseable {
    /** The event loops of all fakes and proxies. */
    public val group: MultiThreadIoEventLoopGroup =
        MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory())

    /** The directory of the settings and log files of the routers. */
    public val directory: Path = Files.createTempDirectory("corneltrack-fleet")

    /** The proxies on the links of the routers, into which faults can be injected. */
    public val proxies: FleetProxies = FleetProxies(plan, group)

    /** The fake log of the platform. */
    public val log: FakeLog = FakeLog(group)

    /** The fake instance list of the platform. */
    public val list: FakeInstanceList = FakeInstanceList(group, plan.listLagMs) { requester, fleet ->
        proxies.withProxyAddresses(requester, fleet)
    }

    /** The fake model engines by endpoint. */
    public val engines: Map<EndpointId, FakeModelEngine> = plan.dataCentres.flatMap { dataCentre ->
        (1..dataCentre.engines).map {
            EndpointId("${dataCentre.id}-engine-$it") to FakeModelEngine(group, plan.engine)
        }
    }.toMap()

    /** The fake plain services by endpoint. */
    public val services: Map<EndpointId, FakePlainService> = plan.dataCentres.flatMap { dataCentre ->
        (1..dataCentre.services).map {
            EndpointId("${dataCentre.id}-service-$it") to FakePlainService(group, plan.serviceTimeMs)
        }
    }.toMap()

    /** The router processes. */
    public lateinit var routers: List<RouterProcess>
        private set

    private val client = ControlClient(group)

    /** Starts all members and waits until every router is ready. */
    public fun start(): TestFleet = apply {
        log.start()
        list.start()
        engines.values.forEach { it.start() }
        services.values.forEach { it.start() }
        routers = plan.dataCentres.flatMap { dataCentre ->
            (1..dataCentre.routers).map { createRouter("${dataCentre.id}-router-$it", dataCentre) }
        }
        val initialMembers = FleetList(instances(), endpoints())
        routers.forEach { proxies.withProxyAddresses(it.id, initialMembers) }
        list.update { initialMembers }
        plan.initialChanges.forEach { change(it) }
        routers.forEach { it.start() }
        await("all routers ready") { routers.all { isReady(it) } }
    }

    /** Appends [change] to the configuration, as an operator would. Returns its offset in the log. */
    public fun change(change: Change, basedOn: Long = Long.MAX_VALUE): Long {
        val record = ChangeRecord(UUID.randomUUID().toString(), basedOn, "test", "test", 0, change)
        val data = wireJson.encodeToString<ConfigurationEntry>(record)
        val result = LogClient(client, log.address).append(CONFIGURATION_STREAM, data).join()
        return (result as AppendResult.Appended).offset
    }

    /** Returns the status of [router], or null if it does not respond. */
    public fun status(router: RouterProcess): RouterStatus? =
        get(router, "/status")?.let { wireJson.decodeFromString<RouterStatus>(it) }

    /** Returns the body that the control API of [router] serves at [path], or null without a successful response. */
    public fun get(router: RouterProcess, path: String): String? {
        val request = ControlRequest(HttpMethod.GET, path, secret = FLEET_SECRET)
        val result = client.send(router.controlAddress, request).join()
        return (result as? ControlResult.Responded)?.takeIf { it.ok }?.body
    }

    /** Whether [router] accepts requests. */
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
        directory.toFile().deleteRecursively()
    }

    private fun instances(): List<Instance> = plan.dataCentres.flatMap { dataCentre ->
        routers.filter { it.id.startsWith("${dataCentre.id}-") }
            .map { Instance(InstanceId(it.id), dataCentre.id, it.controlAddress) }
    }

    private fun endpoints(): List<Endpoint> =
        engines.map { (id, engine) -> Endpoint(id, DRAFTS, dataCentreOf(id), engine.address) } +
            services.map { (id, service) -> Endpoint(id, ORDERS, dataCentreOf(id), service.address) }

    private fun dataCentreOf(id: EndpointId): DataCentreId = DataCentreId(id.value.substringBefore('-'))

    private fun createRouter(id: String, dataCentre: DataCentrePlan): RouterProcess {
        val callerAddress = "127.0.0.1:${freePort()}"
        val controlAddress = "127.0.0.1:${freePort()}"
        val logAddress = proxies.proxyFor(id, "log") { log.address }.address
        val listAddress = proxies.proxyFor(id, "list") { list.address }.address
        val settings = RouterSettings(id, dataCentre.id, callerAddress, controlAddress, logAddress, listAddress)
            .toJson(plan)
        return RouterProcess(id, callerAddress, controlAddress, settings, directory, program)
    }
}

private fun RouterSettings.toJson(plan: FleetPlan): String {
    val dataCentres = plan.dataCentres.joinToString { "{\"id\": \"${it.id}\", \"region\": \"${it.region}\"}" }
    return """
        {"id": "$id", "dataCentre": "$dataCentre", "secret": "$FLEET_SECRET",
         "callers": {"host": "127.0.0.1", "port": ${callerAddress.substringAfter(':')}},
         "control": {"host": "127.0.0.1", "port": ${controlAddress.substringAfter(':')}},
         "platform": {"log": "$logAddress", "instances": "$listAddress"},
         "dataCentres": [$dataCentres], "limits": {"claimRetentionMs": ${plan.claimRetentionMs}}}
    """.trimIndent()
}

/** Holds the settings in which the routers of a fleet differ; addresses are `host:port`. */
private data class RouterSettings(
    val id: String,
    val dataCentre: DataCentreId,
    val callerAddress: String,
    val controlAddress: String,
    val logAddress: String,
    val listAddress: String,
)

/** Polls [condition] until it holds; throws an exception that names [description] after [timeoutMs], in ms. */
public fun await(description: String, timeoutMs: Long = DEFAULT_TIMEOUT_MS, condition: () -> Boolean) {
    val deadlineMs = nowMs() + timeoutMs
    while (!condition()) {
        check(nowMs() < deadlineMs) { "Waited $timeoutMs ms in vain for: $description" }
        Thread.sleep(AWAIT_POLL_MS)
    }
}
