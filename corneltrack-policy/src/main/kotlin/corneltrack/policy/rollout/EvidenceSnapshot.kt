package corneltrack.policy.rollout

import corneltrack.world.InstanceId
import corneltrack.world.PoolId
import kotlinx.serialization.Serializable

/**
 * The evidence that one run of one router has gathered itself about an order, for its digests.
 *
 * Each number only grows, so a receiver takes the larger value: loss, duplication and reordering do not matter.
 *
 * @property incarnationMs when the run of the instance started, in ms; tells the counters of a restarted router apart.
 * @property routes the counters of each route that the router has had a response for.
 */
@Serializable
public data class EvidenceSnapshot(
    val pool: PoolId,
    val orderId: Long,
    val instance: InstanceId,
    val incarnationMs: Long,
    val routes: List<RouteEvidence>,
)

/**
 * The counters of one route at one router, by time slice of the order ([evidenceSlice]).
 *
 * @property target the responses of the target version; slices after the last one are empty.
 * @property baseline the responses of all other versions.
 */
@Serializable
public data class RouteEvidence(
    val route: String,
    val target: List<SliceEvidence>,
    val baseline: List<SliceEvidence>,
)

/**
 * The counters of the responses of one version on one route within one time slice.
 *
 * @property responses the responses that have ended, good or failed.
 * @property failures the failed ones.
 * @property firstEvents the ratios of observed to expected time to the first event.
 * @property pauses the ratios of observed to expected pause between events.
 */
@Serializable
public data class SliceEvidence(
    val responses: Int = 0,
    val failures: Int = 0,
    val firstEvents: RatioCounts = RatioCounts(),
    val pauses: RatioCounts = RatioCounts(),
)

/**
 * A histogram of ratios without its empty ends.
 *
 * @property first the bucket of the first count ([ratioBucket]).
 * @property counts the number of ratios in each bucket from [first].
 */
@Serializable
public data class RatioCounts(val first: Int = 0, val counts: List<Int> = emptyList())
