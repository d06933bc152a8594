package corneltrack.router.relay

import corneltrack.policy.CrashReport
import corneltrack.policy.PartAnswered
import corneltrack.policy.Suspicion
import corneltrack.policy.discovery.StampEcho
import corneltrack.policy.discovery.TopicWatermark
import corneltrack.policy.rollout.BadReason
import corneltrack.policy.rollout.EvidenceSnapshot
import corneltrack.policy.rollout.RolloutPhase
import corneltrack.wire.wireProtobuf
import corneltrack.world.PoolId
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoIntegerType
import kotlinx.serialization.protobuf.ProtoNumber
import kotlinx.serialization.protobuf.ProtoPacked
import kotlinx.serialization.protobuf.ProtoType

/**
 * The load of one router's requests on one endpoint, and what the endpoint has lately cached for them.
 *
 * @property pendingPrefillTokens prompt tokens sent and not yet processed.
 * @property running requests that have been sent and have not ended.
 * @property kvCacheTokens KV cache tokens that these requests occupy in the engine.
 * @property startedAtMs the incarnation of the endpoint that [cachedPrefixes] belong to.
 * @property cachedPrefixes hashes of the shared prefixes of prompts that the engine has processed lately.
 * @property limit the limit that the endpoint has lately stated to the sender, or null if it stated none lately.
 * @property leavingAgeMs the time since a response in which the endpoint told the sender that it leaves, or null if
 *   there was none lately.
 * @property service what the endpoint, which states its pace, last stated to the sender; null if that is not recent.
 * @property speeds what the sender has learnt of the engine, if engines of its pool state their pace; null for nothing.
 */
@Serializable
internal data class EndpointDigest(
    val pendingPrefillTokens: Long,
    val running: Int,
    val kvCacheTokens: Long,
    val startedAtMs: Long = 0,
    @ProtoPacked @ProtoType(ProtoIntegerType.FIXED) val cachedPrefixes: List<Long> = emptyList(),
    val limit: LimitDigest? = null,
    val leavingAgeMs: Long? = null,
    val service: ServiceDigest? = null,
    val speeds: SpeedsDigest? = null,
)

/**
 * What an endpoint that states its pace last stated to the sender, and what the sender has learnt of it.
 *
 * @property active the requests, running or queued, from all routers.
 * @property pace how long work takes, as a multiple of the usual time.
 * @property ageMs the time since the endpoint's response.
 * @property serviceTimeMs the time that a request takes at a pace of 1.
 * @property samples the responses that [serviceTimeMs] stands for.
 */
@Serializable
internal data class ServiceDigest(
    val active: Int,
    val pace: Float,
    val ageMs: Long,
    val serviceTimeMs: Float = 0f,
    val samples: Int = 0,
)

/**
 * What the sender alone has learnt of the speed of an engine, in ms a token, and from how many samples.
 */
@Serializable
internal data class SpeedsDigest(
    val prefillMsPerToken: Float = 0f,
    val prefillSamples: Int = 0,
    val decodeMsPerToken: Float = 0f,
    val decodeSamples: Int = 0,
)

/**
 * The limit that an endpoint states for the requests of all routers.
 *
 * @property requestsPerSecond the limit, or null if the endpoint no longer states one.
 * @property ageMs the time since the endpoint's response.
 */
@Serializable
internal data class LimitDigest(val requestsPerSecond: Double? = null, val ageMs: Long)

/**
 * How loaded a router is.
 *
 * @property lagMs how late it reads requests.
 * @property inRotation whether it wants the load balancer to route new connections of callers to it.
 */
@Serializable
internal data class RouterDigest(val lagMs: Long, val inRotation: Boolean)

/**
 * What a workspace requested, was granted and tried to place at one router, in tokens per second.
 *
 * @property attempted equal to [requested] in the digests of routers that do not report it.
 */
@Serializable
internal data class WorkspaceDigest(val requested: Long, val granted: Long, val attempted: Long = requested)

/**
 * What a router reports of the roll-out of one pool.
 *
 * @property orderId the order that the report is about.
 * @property phase the phase that the router knows, or null if it knows no status of the order.
 * @property oldRequests the requests that it has or may still send at endpoints of other versions than the target.
 * @property bad why the router holds the target version for bad, or null if it does not.
 * @property evidence the router's own counters, or null if it has none.
 */
@Serializable
internal data class RolloutDigest(
    val pool: PoolId,
    val orderId: Long,
    val phase: RolloutPhase? = null,
    val oldRequests: Int = 0,
    val bad: BadReason? = null,
    val evidence: EvidenceSnapshot? = null,
)

/** The number of [PeerDigest.echo] on the wire. */
private const val ECHO_FIELD = 12

/**
 * A datagram from a router to its peers.
 *
 * Carries either its load, its crash suspicions, its reports on parts of prompts, its watermarks or its roll-outs.
 *
 * @property sender the ID of the router.
 * @property endpoints the load on each endpoint in use, by endpoint ID.
 * @property workspaces the token rates of each active workspace, by workspace ID.
 * @property crashes crashes of endpoints that were about to answer prompts.
 * @property answered suspected parts of prompts that have been answered since.
 * @property router how loaded the router itself is; null in digests of routers that do not report it.
 * @property watermarks how far the router has read each topic of the store, by topic name.
 * @property records the records that belong to [watermarks]; null in digests of routers that share none.
 * @property rollouts the roll-outs that are open; empty in fleets that have none.
 * @property stamp a number that the peers of the region return with their watermarks; 0 in digests without one.
 * @property echo what the sender returns to the recipient, so that the age of [watermarks] can be proven; null in
 *   digests without watermarks and in those of routers that return nothing.
 */
@Serializable
internal data class PeerDigest(
    val sender: String,
    val endpoints: Map<String, EndpointDigest> = emptyMap(),
    val workspaces: Map<String, WorkspaceDigest> = emptyMap(),
    val suspicions: List<Suspicion> = emptyList(),
    val watermarks: Map<String, TopicWatermark> = emptyMap(),
    val crashes: List<CrashReport> = emptyList(),
    val answered: List<PartAnswered> = emptyList(),
    val router: RouterDigest? = null,
    val records: SharedRecords? = null,
    val rollouts: List<RolloutDigest> = emptyList(),
    val stamp: Long = 0,
    @ProtoNumber(ECHO_FIELD) val echo: StampEcho? = null,
) {
    val carriesLoad: Boolean
        get() = suspicions.isEmpty() && watermarks.isEmpty() && crashes.isEmpty() && answered.isEmpty() &&
            rollouts.isEmpty()
}

@Serializable
private class EchoField(@ProtoNumber(ECHO_FIELD) val echo: StampEcho)

/**
 * Returns this encoded [PeerDigest] with [echo], which differs between recipients while the rest is encoded once:
 * fields of a message may follow each other in any order.
 */
internal fun ByteArray.withEcho(echo: StampEcho): ByteArray = this + wireProtobuf.encodeToByteArray(EchoField(echo))

/**
 * The record in the store by which a router announces itself to its peers; the key is its ID.
 *
 * @property address the host and port at which it receives digests over UDP.
 */
@Serializable
internal data class PeerRecord(val dataCentre: String, val address: String)
