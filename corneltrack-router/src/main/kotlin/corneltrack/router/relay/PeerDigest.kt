package corneltrack.router.relay

import corneltrack.policy.Suspicion
import corneltrack.policy.discovery.TopicWatermark
import kotlinx.serialization.Serializable

/**
 * Holds what a router has under way at one endpoint.
 *
 * @property pendingPrefillTokens prompt tokens still to be read.
 * @property running requests sent and not ended.
 * @property kvCacheTokens tokens kept in the engine's memory for them.
 */
@Serializable
internal data class EndpointDigest(val pendingPrefillTokens: Long, val running: Int, val kvCacheTokens: Long)

/** Holds what a workspace asked for and was granted at one router, in tokens a second. */
@Serializable
internal data class WorkspaceDigest(val requested: Long, val granted: Long)

/**
 * Tells a router's load, its suspicions or how far it knows the store to its peers.
 *
 * @property watermarks how far it knows each topic.
 */
@Serializable
internal data class PeerDigest(
    val sender: String,
    val endpoints: Map<String, EndpointDigest> = emptyMap(),
    val workspaces: Map<String, WorkspaceDigest> = emptyMap(),
    val suspicions: List<Suspicion> = emptyList(),
    val watermarks: Map<String, TopicWatermark> = emptyMap(),
)

/**
 * Announces a router to its peers, in the store.
 *
 * @property address host and port for datagrams.
 */
@Serializable
internal data class PeerRecord(val dataCentre: String, val address: String)
