package corneltrack.policy.limits

/**
 * Bounds what is sent a second time to a part of what callers sent, over a sliding window.
 *
 * Each router applies the ratio to its own requestTimes, so that the bound holds for the fleet however it is cut up. Not
 * thread-safe.
 *
 * @param ratio the retryTimes allowed for each request.
 * @param windowMs the length of the window, in ms.
 */
public class SlidingWindowRetryBudget(private val ratio: Double, private val windowMs: Long) {
    private val requestTimes = ArrayDeque<Long>()
    private val retryTimes = ArrayDeque<Long>()

    /** Notes a request of a caller. */
    public fun onRequest(nowMs: Long) {
        requestTimes.addLast(nowMs)
        dropExpired(nowMs)
    }

    /** Takes one repeat from the allowance. Returns false where it is used up. */
    public fun tryRetry(nowMs: Long): Boolean {
        val allowed = allowsRetry(nowMs)
        if (allowed) retryTimes.addLast(nowMs)
        return allowed
    }

    /** Returns whether one more repeat is within the allowance. */
    public fun allowsRetry(nowMs: Long): Boolean {
        dropExpired(nowMs)
        return retryTimes.size + 1 <= ratio * requestTimes.size
    }

    private fun dropExpired(nowMs: Long) {
        while (requestTimes.isNotEmpty() && nowMs - requestTimes.first() >= windowMs) requestTimes.removeFirst()
        while (retryTimes.isNotEmpty() && nowMs - retryTimes.first() >= windowMs) retryTimes.removeFirst()
    }
}
