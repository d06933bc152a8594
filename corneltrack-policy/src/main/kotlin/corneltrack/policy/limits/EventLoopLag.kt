package corneltrack.policy.limits

/**
 * Estimates the lag of an event loop from the delay of a periodic task on it.
 *
 * Serves to shed load when a router gets more requests than its processor can relay, for example when a workspace sends
 * many times its usual traffic over a few connections. Requests that are read late have waited unnoticed in the
 * connections, and their callers give up before the requests leave the router. Not thread-safe.
 *
 * @param periodMs the period of the task, in ms.
 */
public class EventLoopLag(private val periodMs: Long) {
    private var lastTickMs: Long? = null
    private var lastLagMs = 0L
    private var previousLagMs = 0L

    /** Records that the periodic task runs. */
    public fun onTick(nowMs: Long) {
        previousLagMs = lastLagMs
        lastLagMs = overdueMs(nowMs)
        lastTickMs = nowMs
    }

    /**
     * Returns how long data that is read now may have waited to be read, in ms.
     *
     * Data of a new connection is read one event loop iteration after the connection was accepted, so the lag of the
     * previous iteration counts too.
     */
    public fun lagMs(nowMs: Long): Long = maxOf(lastLagMs, previousLagMs, overdueMs(nowMs))

    private fun overdueMs(nowMs: Long): Long = lastTickMs?.let { maxOf(0, nowMs - it - periodMs) } ?: 0
}
