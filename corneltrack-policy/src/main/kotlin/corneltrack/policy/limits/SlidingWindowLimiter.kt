package corneltrack.policy.limits

/**
 * Limits the number of events within a sliding window. Not thread-safe.
 *
 * @param windowMs the length of the window, in ms.
 */
public class SlidingWindowLimiter(private val windowMs: Long) {
    private val eventTimes = ArrayDeque<Long>()

    /** Whether another event now stays within [limit] events in the window. */
    public fun allows(limit: Int, nowMs: Long): Boolean {
        while (eventTimes.isNotEmpty() && nowMs - eventTimes.first() >= windowMs) eventTimes.removeFirst()
        return eventTimes.size < limit
    }

    /** Records an event. */
    public fun onEvent(nowMs: Long) {
        eventTimes.addLast(nowMs)
    }
}
