package corneltrack.router.relay

/** Learns an endpoint's speed from the times of one attempt. All times are in ms of the steady clock. */
internal class EventTiming(private val call: RelayedCall, private val target: Target) {
    private var sentMs = 0L
    private var lastEventMs = 0L

    /** When the last event came, or by when the first one was expected. */
    val lastProgressMs: Long
        get() = if (lastEventMs > 0) lastEventMs else sentMs + target.expected.waitMs.toLong()

    /** Notes that the request leaves. */
    fun onSent(nowMs: Long) {
        sentMs = nowMs
    }

    /** Notes an event of the answer. */
    fun onEvent(nowMs: Long) {
        val engine = target.state.engine
        if (lastEventMs == 0L) {
            target.engineRequest?.let { engine.onFirstEvent(it, nowMs - sentMs - target.networkDelayMs) }
            if (call.firstEventMs == null) call.firstEventMs = nowMs
        } else {
            engine.onEvent(nowMs - lastEventMs, call.pool.engine?.tokensPerEvent ?: 1, nowMs)
            call.longestPauseMs = maxOf(call.longestPauseMs, nowMs - lastEventMs)
        }
        lastEventMs = nowMs
    }

    /** Returns how long the endpoint worked, without the network's share. */
    fun processingMs(nowMs: Long): Long = maxOf(0, nowMs - sentMs - target.networkDelayMs.toLong())
}
