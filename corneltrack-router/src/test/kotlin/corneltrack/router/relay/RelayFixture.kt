package corneltrack.router.relay

import corneltrack.policy.limits.parseStatedLimit
import corneltrack.policy.limits.parseStatedPause
import corneltrack.policy.placement.Generation
import corneltrack.policy.placement.PromptSegment
import corneltrack.policy.placement.promptSegments
import corneltrack.policy.rollout.RolloutOrder
import corneltrack.policy.rollout.RolloutPhase
import corneltrack.policy.rollout.RolloutStatus
import corneltrack.router.relay.rollout.RolloutOrderRecord
import corneltrack.router.relay.rollout.RolloutRecords
import corneltrack.wire.HostAndPort
import corneltrack.wire.wireProtobuf
import corneltrack.world.DataCentreId
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.MemberState
import corneltrack.world.PoolId
import corneltrack.world.RegionId
import corneltrack.world.WorkspaceId
import corneltrack.world.routing.CallerLimits
import corneltrack.world.routing.EndpointEntry
import corneltrack.world.routing.EngineProfile
import corneltrack.world.routing.ExecutionSemantics
import corneltrack.world.routing.ResponseMode
import corneltrack.world.routing.Route
import corneltrack.world.routing.RoutedPool
import corneltrack.world.routing.RoutedWorkspace
import corneltrack.world.routing.RoutingTable
import corneltrack.world.routing.WeightedPool
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.encodeToString
import java.net.BindException
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val AWAIT_TIMEOUT_MS = 10_000L
private const val POLL_MS = 5L
private const val BUSY_MS = 400L
private const val BUSY_INTERVAL_MS = 10L
private const val SOCKET_TIMEOUT_MS = 10_000
private val FIXTURE_PORTS = 20_000..31_999

/** Runs a router in this process with scripted endpoints and an in-memory store. */
internal class RelayFixture(
    bounds: RelayBounds = RelayBounds(),
    private val timeoutMs: Long = 5_000,
    private val maximumBodyBytes: Int = 1_000_000,
    features: RelayFeatures = RelayFeatures(),
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val operator = FakeTopic(group.next())
    private val endpoints = FakeTopic(group.next())
    private val peers = FakeTopic(group.next())

    /** The store's records of which version began which stream. */
    val streams = FakeTopic(group.next())
    private val scriptedEndpoints = ArrayList<ScriptedEndpoint>()
    private val entries = HashMap<String, EndpointEntry>()
    private val ports = freePorts(count = 3)
    private val settings = RelaySettings(
        id = InstanceId("router"),
        dataCentre = DataCentreId("here"),
        regions = mapOf(DataCentreId("here") to RegionId("home"), DataCentreId("there") to RegionId("abroad")),
        callers = HostAndPort("127.0.0.1", ports[0]),
        readiness = HostAndPort("127.0.0.1", ports[1]),
        readinessPath = "/ready",
        peers = HostAndPort("127.0.0.1", ports[2]),
        bounds = bounds,
        features = features,
    )
    private var table = table(1)
    private val source = RoutingSource(
        operator.topic,
        endpoints.topic,
        peers.topic,
        operatorRecordKind = { key ->
            when {
                key == "table" -> OperatorRecordKind.Table
                key.startsWith("order ") -> OperatorRecordKind.Rollout(PoolId(key.removePrefix("order ")))
                else -> OperatorRecordKind.Evacuation(DataCentreId(key))
            }
        },
        decodeTable = { table },
        decodeEndpoint = { key, value -> entries[String(value)]?.takeIf { it.endpoint.id.value == key } },
        streams = streams.topic,
        rollouts = testRolloutRecords,
    )
    val router = RelayRouter(settings, group, source, testHeaderMapping)

    /** Starts an endpoint that responds with [script], [early] without reading the body, and lists it in the store. */
    fun endpoint(
        name: String,
        pool: String = "engines",
        dataCentre: String = "here",
        early: Boolean = false,
        script: (ReceivedRequest, Socket) -> Unit,
    ): ScriptedEndpoint {
        val added = ScriptedEndpoint(early, script)
        scriptedEndpoints += added
        listEndpoint(name, added.address, pool, dataCentre)
        return added
    }

    /** Starts an endpoint of [version] that responds with [script], and lists it in the store. */
    fun versionedEndpoint(
        name: String,
        version: String,
        pool: String = "engines",
        dataCentre: String = "here",
        script: (ReceivedRequest, Socket) -> Unit,
    ): ScriptedEndpoint {
        val added = ScriptedEndpoint(script = script)
        scriptedEndpoints += added
        val endpoint =
            Endpoint(EndpointId(name), PoolId(pool), DataCentreId(dataCentre), added.address, MemberState.LIVE)
        list(endpoint, startedAtMs = 1, version)
        return added
    }

    /** Starts a service's endpoint of [version] that responds with [script], and lists it in the store. */
    fun serviceEndpoint(
        name: String,
        version: String,
        script: (ReceivedRequest, Socket) -> Unit,
    ): ScriptedEndpoint = versionedEndpoint(name, version, "services", script = script)

    /** Writes the record of an endpoint at [address] to the store. */
    fun listEndpoint(
        name: String,
        address: String,
        pool: String = "engines",
        dataCentre: String = "here",
        state: MemberState = MemberState.LIVE,
    ) {
        val endpoint = Endpoint(EndpointId(name), PoolId(pool), DataCentreId(dataCentre), address, state)
        list(endpoint, startedAtMs = 1)
    }

    /** Writes the record of another incarnation of the engine [name] to the store. */
    fun restartEngine(name: String, address: String, startedAtMs: Long) {
        val here = DataCentreId("here")
        list(Endpoint(EndpointId(name), PoolId("engines"), here, address, MemberState.LIVE), startedAtMs)
    }

    private fun list(endpoint: Endpoint, startedAtMs: Long, version: String = "") {
        val sequence = entries.size + 1L
        val key = "${endpoint.id.value}/$sequence"
        entries[key] = EndpointEntry(endpoint, startedAtMs, sequence, 4, coldStartRemainingMs = 0, version)
        endpoints.put(endpoint.id.value, key)
    }

    /** Waits until the router has read the records of all endpoints. */
    fun awaitEndpointsRead() = await("the router to read the endpoints") { endpoints.consumed }

    /** Writes the operators' record that evacuates [dataCentre]. */
    fun evacuate(dataCentre: String) = operator.put(dataCentre, "")

    /** Writes the operators' record that orders a roll-out of [pool], or removes it if [text] is null. */
    fun order(pool: String, text: String?) = operator.put("order $pool", text)

    /** Writes the status of the roll-out of [pool], as another router does. */
    fun writeStatus(pool: String, status: RolloutStatus) = peers.put("status $pool", encodeTestStatus(status))

    /** Returns the newest status of the roll-out of [pool], or null if there is none. */
    fun status(pool: String): RolloutStatus? = peers.newest("status $pool")?.let(::decodeTestStatus)

    /** Waits until the router has read all records of the operators and of the status topic. */
    fun awaitRecordsRead() = await("the router to read all records") { operator.consumed && peers.consumed }

    /** Announces a peer of the router's data centre in the store; it receives nothing. */
    fun announcePeer(name: String) {
        val record = PeerRecord("here", "127.0.0.1:${freePorts(count = 1).single()}")
        peers.put(name, peerJson.encodeToString(record))
    }

    /** Sends the router a digest of [peer]. */
    fun sendDigest(peer: String, load: RouterDigest) = sendDigest(PeerDigest(peer, router = load))

    /** Sends the router [digest] of a peer. */
    fun sendDigest(digest: PeerDigest) {
        val bytes = wireProtobuf.encodeToByteArray(digest)
        val address = InetAddress.getByName(settings.peers.host)
        DatagramSocket().use { it.send(DatagramPacket(bytes, bytes.size, address, settings.peers.port)) }
    }

    /** Makes the store stop responding, or respond again. */
    fun setStoreUnavailable(unavailable: Boolean) =
        listOf(operator, endpoints, peers, streams).forEach { it.unavailable = unavailable }

    /** Blocks the router's event loop for [busyMs] at a time, with short pauses, while [action] runs. */
    fun overload(busyMs: Long = BUSY_MS, action: () -> Unit) {
        val busyNs = TimeUnit.MILLISECONDS.toNanos(busyMs)
        val work = group.next().scheduleWithFixedDelay({
            val untilNs = System.nanoTime() + busyNs
            while (System.nanoTime() < untilNs) Thread.onSpinWait()
        }, 0, BUSY_INTERVAL_MS, TimeUnit.MILLISECONDS)
        action()
        work.cancel(false)
    }

    /** Blocks the router's event loop while [action] runs. */
    fun whileBlocked(action: () -> Unit) {
        val blocked = CountDownLatch(1)
        val released = CountDownLatch(1)
        group.next().execute {
            blocked.countDown()
            released.await()
        }
        blocked.await()
        action()
        released.countDown()
    }

    /** Starts the router and waits until it is ready. */
    fun start(): RelayFixture {
        operator.put("table", "")
        router.start()
        await("the router to be ready") { readinessStatus() == 200 }
        return this
    }

    /** Returns the status code of the readiness check. */
    fun readinessStatus(): Int {
        val response = exchange(settings.readiness, "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        return response.substringAfter(' ').take(3).toInt()
    }

    fun metrics(): String =
        exchange(settings.readiness, "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")

    /** Sends a request and returns all bytes received until the connection is closed. */
    fun call(
        path: String,
        id: String = "one",
        headers: String = "",
        body: String = "",
        method: String = "POST",
    ): String = exchange(settings.callers, request(path, id, headers, body, method))

    /** Connects to the router as a caller. */
    fun connect(): Socket = Socket(settings.callers.host, settings.callers.port).apply { soTimeout = SOCKET_TIMEOUT_MS }

    override fun close() {
        router.close()
        scriptedEndpoints.forEach { it.close() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    private fun exchange(address: HostAndPort, request: String): String =
        Socket(address.host, address.port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            socket.send(request)
            String(socket.getInputStream().readAllBytes())
        }

    private fun table(version: Long): RoutingTable {
        val profile = EngineProfile(4, 100_000, 1, transferMsPerToken = 0.0001)
        val engines = RoutedPool(PoolId("engines"), "/", profile, 10, 0.0)
        val services = RoutedPool(PoolId("services"), "/", null, 10, 0.0)
        val workspaces = listOf(RoutedWorkspace(WorkspaceId("workspace"), setOf("key"), null, emptySet()))
        val routes = listOf(
            route("/stream/", "engines", ResponseMode.EVENT_STREAM),
            route("/resumed/", "engines", ResponseMode.EVENT_STREAM, ExecutionSemantics.IDEMPOTENT, resumable = true),
            route("/bound/", "engines", ResponseMode.EVENT_STREAM).copy(regions = setOf(RegionId("home"))),
            route("/once/", "services", ResponseMode.COMPLETE),
            route("/many/", "services", ResponseMode.COMPLETE, ExecutionSemantics.IDEMPOTENT),
            route(
                "/many/keyed/",
                "services",
                ResponseMode.COMPLETE,
                ExecutionSemantics.IDEMPOTENT,
            ).copy(public = false),
        )
        val limits = CallerLimits(16_384, maximumBodyBytes, 3_000, 15_000)
        return RoutingTable(version, routes, listOf(engines, services).associateBy { it.id }, workspaces, limits, 0.0)
    }

    private fun route(
        prefix: String,
        pool: String,
        responseMode: ResponseMode,
        semantics: ExecutionSemantics = ExecutionSemantics.AT_MOST_ONCE,
        resumable: Boolean = false,
    ) = Route(
        name = prefix,
        host = "host",
        pathPrefix = prefix,
        semantics = semantics,
        responseMode = responseMode,
        resumable = resumable,
        timeoutMs = timeoutMs,
        objectiveMs = 2_000,
        pauseLimitMs = 500,
        priority = 0,
        maximumAttempts = 2,
        public = true,
        pools = listOf(WeightedPool(PoolId(pool), 1.0)),
    )
}

/** Orders are `TARGET DURATION_MS`; statuses are the fields separated by spaces. */
private val testRolloutRecords = RolloutRecords(
    decodeOrder = { pool, value, offset ->
        val fields = String(value).split(' ')
        val durationMs = fields.getOrNull(1)?.toLongOrNull()
        if (durationMs == null) {
            RolloutOrderRecord.Invalid("no duration")
        } else {
            RolloutOrderRecord.Valid(RolloutOrder(pool, fields[0], durationMs, offset))
        }
    },
    statusPool = { key -> if (key.startsWith("status ")) PoolId(key.removePrefix("status ")) else null },
    statusKey = { "status ${it.value}" },
    decodeStatus = { decodeTestStatus(String(it)) },
    encodeStatus = { encodeTestStatus(it).toByteArray() },
)

private fun encodeTestStatus(status: RolloutStatus) = with(status) {
    "$orderId $target $baseline $phase $startedWallClockMs $decidedBy"
}

private fun decodeTestStatus(text: String) = text.split(' ').let {
    RolloutStatus(it[0].toLong(), it[1], it[2], RolloutPhase.valueOf(it[3]), it[4].toLong(), it[5])
}

/** Returns the text of a request whose connection closes after the response. */
internal fun request(
    path: String,
    id: String = "one",
    headers: String = "",
    body: String = "",
    method: String = "POST",
): String =
    "$method $path HTTP/1.1\r\nhost: host:80\r\nrequest: $id\r\nconnection: close\r\n$headers" +
        "content-length: ${body.length}\r\n\r\n$body"

/** Waits until [condition] holds; [what] describes it in the message of a timeout. */
internal fun await(what: String, condition: () -> Boolean) {
    val untilMs = System.currentTimeMillis() + AWAIT_TIMEOUT_MS
    while (!condition()) {
        check(System.currentTimeMillis() < untilMs) { "waited $AWAIT_TIMEOUT_MS ms for $what" }
        Thread.sleep(POLL_MS)
    }
}

/**
 * Returns [count] different free ports. They lie below those that the system gives to outgoing connections, so that
 * none of these takes a port before the router binds it.
 */
private fun freePorts(count: Int): List<Int> =
    generateSequence { FIXTURE_PORTS.random() }.distinct().filter(::isFree).take(count).toList()

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
    true
} catch (_: BindException) {
    false
}

/** Parses the segments of a prompt, as NAME:TOKENS separated by commas. */
private fun testSegments(headers: HttpHeaders): List<PromptSegment> {
    val entries = headers.get("prefix").orEmpty().split(',').filter { it.isNotEmpty() }.map { it.split(':') }
    return promptSegments(entries.map { it[0].toLong() }, entries.map { it[1].toInt() })
}

/** Parses the load that an endpoint states, as RUNNING WAITING SLOTS PACE. */
private fun testLoad(headers: HttpHeaders): StatedLoad? = headers.get("load")?.split(' ')?.let {
    StatedLoad(it[0].toInt(), it[1].toInt(), it[2].toInt(), it.getOrNull(3)?.toDouble())
}

private val testHeaderMapping = HeaderMapping(
    readRequest = { head ->
        val headers = head.headers()
        val generation = headers.get("tokens")?.toInt()?.let { Generation(testSegments(headers), it, 1) }
        CallerMetadata(
            requestId = headers.getAll("request").singleOrNull()?.takeIf { it.isNotEmpty() },
            host = headers.get("host").orEmpty().substringBefore(':'),
            path = head.uri().substringBefore('?'),
            apiKey = headers.get("key"),
            timeLeftMs = headers.get("left")?.toLong(),
            cost = generation?.cost,
            takesUp = headers.get("resumes")?.let(::TakenUpStream),
            readGeneration = { generation },
        )
    },
    writeRequest = { headers, metadata ->
        headers.remove("key").remove("copy-from")
        headers.set("endpoint", metadata.endpoint).set("left", metadata.timeLeftMs)
        metadata.workspace?.let { headers.set("workspace", it) }
        metadata.lastEventId?.let { headers.set("last-event", it) }
        metadata.prefixSource?.let { headers.set("copy-from", it) }
    },
    readResponse = { head ->
        val headers = head.headers()
        ResponseMetadata(
            headers.getAll("request"),
            headers.contains("signature"),
            headers.contains("not-run"),
            load = testLoad(headers),
            parseStatedLimit(headers.get("limit")),
            leaving = headers.contains("leaving"),
            pause = parseStatedPause(headers.getAll("pause")),
        )
    },
)
