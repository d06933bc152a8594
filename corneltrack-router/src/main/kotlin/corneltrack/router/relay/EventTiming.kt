package corneltrack.router.relay

import corneltrack.policy.placement.Generation
import corneltrack.policy.placement.TransferSuccess

/** Updates an endpoint's load estimate from the times of one attempt, all in ms of the monotonic clock. */
internal class EventTiming(
    private val call: RelayedCall,
    private val target: Target,
    private val transfers: TransferSuccess,
) {
    private var sentMs = 0L
    private var lastEventMs = 0L

    /** The events received so far. */
    var events = 0
        private set

    /** When the last event arrived, or before the first one, when it was expected. */
    val lastProgressMs: Long
        get() = if (lastEventMs > 0) lastEventMs else sentMs + target.expected.waitMs.toLong()

    /** Records that the request is being sent. */
    fun onSent(nowMs: Long) {
        sentMs = nowMs
    }

    /** Records an event of the response. */
    fun onEvent(nowMs: Long) {
        val engine = target.state.engine
        events++
        if (lastEventMs == 0L) {
            call.generation?.let { onPromptProcessed(it, nowMs) }
            target.engineRequest?.let { engine.onFirstEvent(it, nowMs - sentMs - target.networkDelayMs) }
            if (call.firstEventMs == null) call.firstEventMs = nowMs
        } else {
            engine.onEvent(nowMs - lastEventMs, call.pool.engine?.tokensPerEvent ?: 1, nowMs)
            call.longestPauseMs = maxOf(call.longestPauseMs, nowMs - lastEventMs)
        }
        lastEventMs = nowMs
    }

    /** Records what the first event says of the engine's cache and of the copy that it was asked to make. */
    private fun onPromptProcessed(generation: Generation, nowMs: Long) {
        val lateMs = nowMs - sentMs - target.expected.waitMs
        target.prefixSource?.let { transfers.onFirstEvent(it.transfer, generation, target.state.engine, lateMs) }
        if (call.regions.isEmpty()) target.state.onPromptProcessed(generation, nowMs)
    }

    /** Returns the time since the request was sent without the network delay, in ms. */
    fun processingMs(nowMs: Long): Long = maxOf(0, nowMs - sentMs - target.networkDelayMs.toLong())
}
