package corneltrack.policy.placement

/**
 * The fraction of its objective for which a request is held at most. At a half, requests of an overloaded pool that are
 * sent after all come too late (ServiceFleetTest at three times the load: 2,480 missed, 1,606 at a quarter).
 */
private const val HELD_FRACTION = 0.25

/**
 * Returns whether a request should wait at the router rather than be sent to one of [candidates].
 *
 * An endpoint that is full refuses, and a refused request may be retried only within the retry budget. Where endpoints
 * state their pace, a router that has its even share of their slots in use holds further requests while all are
 * expected to run as many as they can, for up to a quarter of the objective. It then sends them, since its estimates
 * may be wrong.
 *
 * @param routers the number of routers that share the endpoints.
 * @param waitedMs how long the request has waited since it arrived, in ms.
 */
public fun holdsServiceRequest(
    candidates: List<ServiceCandidate>,
    routers: Int,
    waitedMs: Long,
    objectiveMs: Long,
    nowMs: Long,
): Boolean {
    val paced = candidates.any { it.load.paced.pace.known }
    if (!paced || waitedMs >= objectiveMs * HELD_FRACTION) return false
    val ownShare = maxOf(1, candidates.sumOf { it.concurrency } / maxOf(1, routers))
    return candidates.sumOf { it.load.running } >= ownShare &&
        candidates.all { it.load.running + it.load.paced.othersAt(nowMs) >= it.concurrency }
}
