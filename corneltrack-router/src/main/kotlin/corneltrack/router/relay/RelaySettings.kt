package corneltrack.router.relay

import corneltrack.wire.HostAndPort
import corneltrack.world.DataCentreId
import corneltrack.world.InstanceId
import corneltrack.world.RegionId

/** Connections stay open up to four fifths of it; each request on them needs a socket to an endpoint besides. */
private const val CALLER_SOCKET_FRACTION = 0.55
private const val IDLE_SOCKET_FRACTION = 0.15
private const val READINESS_SOCKET_FRACTION = 0.05

/** More than balancers, operators and collectors of metrics open together. */
private const val READINESS_CONNECTIONS = 32

/**
 * Holds the limits that a deployment configures.
 *
 * @property failClosed whether API keys are refused once the cached configuration is older than [maximumKeyAgeMs].
 * @property maximumKeyAgeMs the age of the cached configuration up to which its API keys are accepted, in ms.
 * @property maximumViewAgeMs the age up to which a copy of the store's records counts as current, in ms: what it lacks
 *   does not exist.
 * @property relistingTimeoutMs how long endpoints may take to be listed again after an outage of the store, in ms.
 * @property retryRatio the retries allowed for each request of a caller, over [retryWindowMs].
 * @property retryWindowMs the sliding window of the retry budget, in ms.
 * @property coldStartBurstFactor the factor by which the cold-start rate of a pool may be exceeded within a second.
 * @property coldStartSlack the requests a second that a cold endpoint may get in addition to that.
 * @property drainTimeoutMs the maximum duration of a graceful shutdown, in ms.
 * @property exposureShare the part of a pool's requests that a bad version may get during a roll-out, beside
 *   [exposureSlack] requests.
 * @property exposureSlack the requests that a bad version may get beyond [exposureShare].
 * @property rollbackMs the time after the 50th bad answer of a version after which it must get no request, in ms.
 */
public data class RelayBounds(
    val failClosed: Boolean = true,
    val maximumKeyAgeMs: Long = 3_500,
    val maximumViewAgeMs: Long = 2_400,
    val relistingTimeoutMs: Long = 2_500,
    val retryRatio: Double = 0.2,
    val retryWindowMs: Long = 10_000,
    val coldStartBurstFactor: Double = 1.0,
    val coldStartSlack: Int = 0,
    val drainTimeoutMs: Long = 7_000,
    val exposureShare: Double = 0.1,
    val exposureSlack: Int = 50,
    val rollbackMs: Long = 5_000,
)

/**
 * Says which parts of the product the deployment's settings ask for.
 *
 * @property rollouts whether operators may order that a pool's traffic move to another version of its endpoints.
 * @property contention whether callers compete for too little room at the engines at times.
 */
public data class RelayFeatures(val rollouts: Boolean = false, val contention: Boolean = false)

/**
 * Limits what callers may take of the process beside bodies. Each has a default that no caller within the documented
 * limits reaches alone.
 *
 * @property headMemoryBytes what the decoded heads of all callers may take; null for an eighth of the heap.
 * @property waitingMemoryBytes what all callers may have waiting to be decoded or read; null for a third of the direct
 *   memory.
 * @property headLines the lines that one head may have; null for as many as fit into the maximum size of a head.
 */
public data class CallerMemorySettings(
    val headMemoryBytes: Long? = null,
    val waitingMemoryBytes: Long? = null,
    val headLines: Int? = null,
)

/**
 * Configures a router that relays requests according to a routing table.
 *
 * @property regions the region of each data centre.
 * @property callers the listening address for callers.
 * @property readiness the listening address of the readiness check and the metrics.
 * @property readinessPath the path of the readiness check.
 * @property peers the UDP listening address for the digests of peers.
 * @property maximumSockets the sockets that the process may have open, or null if there is no such limit.
 * @property callerMemory what callers may take of the process.
 * @property features the parts of the product that the deployment asks for.
 */
public data class RelaySettings(
    val id: InstanceId,
    val dataCentre: DataCentreId,
    val regions: Map<DataCentreId, RegionId>,
    val callers: HostAndPort,
    val readiness: HostAndPort,
    val readinessPath: String,
    val peers: HostAndPort,
    val bounds: RelayBounds = RelayBounds(),
    val maximumSockets: Int? = null,
    val features: RelayFeatures = RelayFeatures(),
    val callerMemory: CallerMemorySettings = CallerMemorySettings(),
) {
    /** The connections of callers that may be open at once; the rest is for endpoints, peers and the store. */
    val maximumCallerConnections: Int
        get() = maximumSockets?.let { (it * CALLER_SOCKET_FRACTION).toInt() } ?: Int.MAX_VALUE

    /** The connections to the readiness port that may be open at once. */
    val maximumReadinessConnections: Int
        get() = maximumSockets?.let { (it * READINESS_SOCKET_FRACTION).toInt() }?.coerceIn(1, READINESS_CONNECTIONS)
            ?: READINESS_CONNECTIONS

    /** The idle connections to endpoints that are kept at once. */
    val maximumIdleEndpointConnections: Int
        get() = maximumSockets?.let { (it * IDLE_SOCKET_FRACTION).toInt() } ?: Int.MAX_VALUE

    /** The region of this router, or null if its data centre is in none. */
    val region: RegionId? get() = regions[dataCentre]
}
