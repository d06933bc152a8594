package corneltrack.policy.limits

/**
 * Bounds what is sent a second time to a part of what callers sent, over a sliding window.
 *
 * Each router applies the ratio to its own requests, so that the bound holds for the fleet however it is cut up. Not
 * thread-safe.
 *
 * @param ratio the repeats allowed for each request.
 * @param windowMs the length of the window, in ms.
 */
public class SlidingWindowRetryBudget(private val ratio: Double, private val windowMs: Long) {
    private val requests = ArrayDeque<Long>()
    private val repeats = ArrayDeque<Long>()

    /** Notes a request of a caller. */
    public fun onRequest(nowMs: Long) {
        requests.addLast(nowMs)
        forget(nowMs)
    }

    /** Takes one repeat from the allowance. Returns false where it is used up. */
    public fun tryRetry(nowMs: Long): Boolean {
        val allowed = allowsRetry(nowMs)
        if (allowed) repeats.addLast(nowMs)
        return allowed
    }

    /** Returns whether one more repeat is within the allowance. */
    public fun allowsRetry(nowMs: Long): Boolean {
        forget(nowMs)
        return repeats.size + 1 <= ratio * requests.size
    }

    private fun forget(nowMs: Long) {
        while (requests.isNotEmpty() && nowMs - requests.first() >= windowMs) requests.removeFirst()
        while (repeats.isNotEmpty() && nowMs - repeats.first() >= windowMs) repeats.removeFirst()
    }
}
