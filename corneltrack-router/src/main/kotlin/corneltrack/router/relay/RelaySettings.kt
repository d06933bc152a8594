package corneltrack.router.relay

import corneltrack.wire.HostAndPort
import corneltrack.world.DataCentreId
import corneltrack.world.InstanceId
import corneltrack.world.RegionId

/**
 * Holds the bounds that a deployment sets, in the router's own terms.
 *
 * @property failClosed whether keys are refused once their configuration may be out of date.
 * @property maximumKeyAgeMs the age of the configuration past which no key is accepted, in ms.
 * @property relistingTimeoutMs how long endpoints take to be listed again after the store was away, in ms.
 * @property retryRatio the repeats for each request.
 * @property retryWindowMs the window over which repeats are bounded, in ms.
 * @property coldStartBurstFactor how far a cold endpoint's rate may be exceeded within a second.
 * @property coldStartSlack the requests beyond that rate that a cold endpoint bears within a second.
 * @property drainTimeoutMs the longest time from the order to stop to the end of the process, in ms.
 */
public data class RelayBounds(
    val failClosed: Boolean = true,
    val maximumKeyAgeMs: Long = 3_500,
    val relistingTimeoutMs: Long = 2_500,
    val retryRatio: Double = 0.2,
    val retryWindowMs: Long = 10_000,
    val coldStartBurstFactor: Double = 1.0,
    val coldStartSlack: Int = 0,
    val drainTimeoutMs: Long = 7_000,
)

/**
 * Configures a router that relays by a routing table.
 *
 * @property callers where callers connect.
 * @property readiness where the balancer asks whether the router takes callers.
 * @property readinessPath the path of that question.
 * @property peers where peers send their loads, over UDP.
 * @property regions the region of each data centre.
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
) {
    /** The region of this router. */
    val region: RegionId? get() = regions[dataCentre]
}
