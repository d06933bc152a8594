package corneltrack.policy.limits

/**
 * Limits retries to a fraction of the callers' requests within a sliding window.
 *
 * Each router applies the ratio to its own requests, so that the limit holds for the whole fleet however requests are
 * distributed among routers. Not thread-safe.
 *
 * @param ratio the number of retries allowed per request.
 * @param windowMs the length of the window, in ms.
 */
public class SlidingWindowRetryBudget(private val ratio: Double, private val windowMs: Long) {
    private val requestTimes = ArrayDeque<Long>()
    private val retryTimes = ArrayDeque<Long>()

    /** Records a caller's request. */
    public fun onRequest(nowMs: Long) {
        requestTimes.addLast(nowMs)
        dropExpired(nowMs)
    }

    /** Takes one retry from the budget. Returns false if the budget is used up. */
    public fun tryRetry(nowMs: Long): Boolean {
        val allowed = allowsRetry(nowMs)
        if (allowed) retryTimes.addLast(nowMs)
        return allowed
    }

    /** Whether the budget allows another retry. */
    public fun allowsRetry(nowMs: Long): Boolean {
        dropExpired(nowMs)
        return retryTimes.size + 1 <= ratio * requestTimes.size
    }

    private fun dropExpired(nowMs: Long) {
        while (requestTimes.isNotEmpty() && nowMs - requestTimes.first() >= windowMs) requestTimes.removeFirst()
        while (retryTimes.isNotEmpty() && nowMs - retryTimes.first() >= windowMs) retryTimes.removeFirst()
    }
}
