package corneltrack.policy.placement

import kotlin.math.pow

/** The part of the wait limits of the next higher priority that a priority has. */
private const val LIMIT_RATIO = 0.7

/** The part of the wait limits that the lowest priority keeps, so that none starves while higher ones queue. */
private const val MINIMUM_LIMIT_FRACTION = 0.35

/**
 * Returns these limits for a request whose [priority] is one of the [priorities] of its pool's streams, the highest
 * first.
 *
 * Meant for workspaces or routes of different priority that compete for the engines of one pool: lower priorities are
 * refused at a shorter queue, so that the queue settles at a length where higher ones still start in time. Limits stay
 * as they are for the highest priority, and where all are equal.
 */
public fun AdmissionLimits.ranked(priority: Int, priorities: Set<Int>): AdmissionLimits {
    val higher = priorities.count { it < priority }
    if (higher == 0) return this
    val fraction = LIMIT_RATIO.pow(higher).coerceAtLeast(MINIMUM_LIMIT_FRACTION)
    return copy(waitLimitMs = waitLimitMs * fraction, queueLimitMs = queueLimitMs * fraction)
}
