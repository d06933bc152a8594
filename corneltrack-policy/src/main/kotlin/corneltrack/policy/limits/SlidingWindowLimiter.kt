package corneltrack.policy.limits

/**
 * Bounds the events in any span of one window. Not thread-safe.
 *
 * @param windowMs the length of the sliding window, in ms.
 */
public class SlidingWindowLimiter(private val windowMs: Long) {
    private val eventTimes = ArrayDeque<Long>()

    /** Returns whether one more event keeps to [limit] in the window. */
    public fun allows(limit: Int, nowMs: Long): Boolean {
        while (eventTimes.isNotEmpty() && nowMs - eventTimes.first() >= windowMs) eventTimes.removeFirst()
        return eventTimes.size < limit
    }

    /** Notes an event. */
    public fun onEvent(nowMs: Long) {
        eventTimes.addLast(nowMs)
    }
}
