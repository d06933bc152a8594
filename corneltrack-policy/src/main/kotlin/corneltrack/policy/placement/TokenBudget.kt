package corneltrack.policy.placement

private const val MS_PER_SECOND = 1_000.0

/**
 * Limits tokens to a rate that changes from call to call.
 *
 * @param burstMs the time for which unused tokens are kept, in ms at the present rate.
 */
internal class TokenBudget(private val burstMs: Double) {
    private var tokens = 0.0
    private var updatedMs = 0L

    fun clear(nowMs: Long) {
        tokens = 0.0
        updatedMs = nowMs
    }

    /** Takes [cost] if any token is left, so that requests of all sizes have the same chance. */
    fun tryTake(cost: Long, perSecond: Double, nowMs: Long): Boolean {
        val perMs = perSecond / MS_PER_SECOND
        tokens = minOf(tokens + perMs * (nowMs - updatedMs), perMs * burstMs)
        updatedMs = nowMs
        val allowed = tokens > 0
        if (allowed) tokens -= cost
        return allowed
    }
}
