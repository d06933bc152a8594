package corneltrack.policy.limits

/**
 * Tells how late a router reads what callers send, from how late a periodic task runs among its reads.
 *
 * Answers a load beyond what the processor of one router can relay, as when a workspace sends many times its usual over
 * a few connections: what is read late has waited unseen in the connections, and its callers give up before their
 * requests leave the router. Not thread-safe.
 *
 * @param periodMs the period of the task, in ms.
 */
public class EventLoopLag(private val periodMs: Long) {
    private var lastTickMs: Long? = null
    private var lastLagMs = 0L
    private var previousLagMs = 0L

    /** Notes that the task runs at [nowMs]. */
    public fun onTick(nowMs: Long) {
        previousLagMs = lastLagMs
        lastLagMs = overdueMs(nowMs)
        lastTickMs = nowMs
    }

    /**
     * Returns how long what is read at [nowMs] may have waited, in ms.
     *
     * What a new connection brings is read a turn after the connection was accepted, so that the lag of the turn before
     * counts too.
     */
    public fun lagMs(nowMs: Long): Long = maxOf(lastLagMs, previousLagMs, overdueMs(nowMs))

    private fun overdueMs(nowMs: Long): Long = lastTickMs?.let { maxOf(0, nowMs - it - periodMs) } ?: 0
}
