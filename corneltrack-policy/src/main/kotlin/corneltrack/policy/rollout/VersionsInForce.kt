package corneltrack.policy.rollout

/**
 * The versions of a pool that requests may go to.
 *
 * @property regular the versions that any request may go to; an empty set if none may be used.
 * @property trial the version that only a trial request may go to, within [TrialShare] and [mayTrial].
 */
public data class VersionsInForce(val regular: Set<String>, val trial: String? = null)

/**
 * Returns the versions in force for new requests of a pool.
 *
 * A trial starts once its status is read, since a router that knows the order alone cannot tell whether the order has
 * been rolled back already. A status of [RolloutPhase.SHIFTING] makes the target the only version for new requests. A
 * target that is the only listed version of a pool without a status was in force before the order.
 *
 * @param stopped whether the verdict on [order] is [Verdict.Bad], here or at a peer: until a status ends the order, its
 *   target then gets no requests.
 * @param listed the versions of the pool's endpoints, without those first listed after the operators' topic was last
 *   read completely.
 * @param order the newest order of the pool, or null if there is none or it was removed.
 * @param status the newest status of the pool, or null if there is none.
 */
public fun versionsInForce(
    listed: Set<String>,
    order: RolloutOrder?,
    status: RolloutStatus?,
    stopped: Boolean,
): VersionsInForce {
    val open = status?.takeIf { it.orderId == order?.orderId && !it.phase.ended }
    val known = if (stopped && open != null) open.copy(phase = RolloutPhase.ROLLED_BACK) else status
    val regular = regularVersions(listed, order, known)
    val trial = open?.takeIf { it.phase == RolloutPhase.TRIAL && !stopped }?.target
    return VersionsInForce(regular, trial?.takeUnless { it in regular })
}

/**
 * Returns the version that becomes [RolloutStatus.baseline] of a new order; empty if several or none are in force.
 */
public fun baselineOf(listed: Set<String>, order: RolloutOrder?, status: RolloutStatus?): String =
    regularVersions(listed, order, status).singleOrNull().orEmpty()

private fun regularVersions(listed: Set<String>, order: RolloutOrder?, status: RolloutStatus?): Set<String> {
    val stale = order != null && status != null && status.orderId < order.orderId
    val targets = setOfNotNull(order?.target.takeUnless { status?.orderId == order?.orderId }, status?.target)
    return when {
        status == null -> (listed - targets).ifEmpty { listed }
        status.phase == RolloutPhase.COMPLETED -> setOf(status.target)
        status.phase == RolloutPhase.SHIFTING && !stale && order != null -> setOf(status.target)
        status.baseline.isEmpty() -> listed - targets
        else -> setOf(status.baseline)
    }
}
