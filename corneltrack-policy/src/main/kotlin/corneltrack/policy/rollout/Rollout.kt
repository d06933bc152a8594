package corneltrack.policy.rollout

import corneltrack.world.PoolId

/**
 * An operator's order to move the traffic of [pool] to the endpoints of version [target].
 *
 * @property durationMs the time from the order by which a good version is to have all traffic, in ms.
 * @property orderId identifies the order: the offset of its record in the operators' topic.
 */
public data class RolloutOrder(val pool: PoolId, val target: String, val durationMs: Long, val orderId: Long)

/** How far a roll-out is. */
public enum class RolloutPhase(public val ended: Boolean) {
    /** A small share of the requests goes to the target version while its responses are compared with the others. */
    TRIAL(ended = false),

    /** The target version was judged good: all new requests go to it, and what still runs at the others ends. */
    SHIFTING(ended = false),

    /** No router sends anything to the other versions, whose endpoints the platform stops. */
    COMPLETED(ended = true),

    /** No router sends anything to the target version. */
    ROLLED_BACK(ended = true),
}

/**
 * What the store holds about the roll-out of one pool.
 *
 * @property orderId the [RolloutOrder.orderId] that the status belongs to.
 * @property baseline the version in force before the order; empty if endpoints state none.
 * @property startedWallClockMs when the order was first seen, in ms since the epoch.
 * @property decidedBy the name of the instance that wrote the status.
 */
public data class RolloutStatus(
    val orderId: Long,
    val target: String,
    val baseline: String,
    val phase: RolloutPhase,
    val startedWallClockMs: Long,
    val decidedBy: String,
) {
    /** Whether [other] is an earlier status of the same order, which a store has that lost this one. */
    public fun follows(other: RolloutStatus): Boolean =
        orderId == other.orderId && !other.phase.ended && phase > other.phase
}
