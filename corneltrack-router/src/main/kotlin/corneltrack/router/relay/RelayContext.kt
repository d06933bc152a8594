package corneltrack.router.relay

import corneltrack.policy.limits.EndpointSignal
import corneltrack.policy.limits.SlidingWindowRetryBudget
import corneltrack.router.EndpointConnections
import corneltrack.world.PoolId
import io.netty.channel.EventLoop

/** Holds what all requests of one router share. Only used on the event loop. */
internal data class RelayContext(
    val loop: EventLoop,
    val headerMapping: HeaderMapping,
    val connections: EndpointConnections,
    val chooser: TargetChooser,
    val eventLog: RelayEventLog,
    val metrics: RelayMetrics,
    val suspects: CrashSuspects,
    private val bounds: RelayBounds,
    private val monotonicMs: () -> Long,
) {
    private val retryBudgets = HashMap<PoolId, SlidingWindowRetryBudget>()

    /** Returns the present time of the steady clock, in ms. */
    fun nowMs(): Long = monotonicMs()

    /** Notes a request of a caller for [pool]. */
    fun onRequest(pool: PoolId) = retryBudget(pool).onRequest(nowMs())

    /** Takes one repeat from the allowance of [pool]. */
    fun tryRetry(pool: PoolId): Boolean = retryBudget(pool).tryRetry(nowMs())

    /** Returns whether one more repeat is within the allowance of [pool]. */
    fun allowsRetry(pool: PoolId): Boolean = retryBudget(pool).allowsRetry(nowMs())

    /** Takes in a sign of how well an endpoint is. */
    fun onHealthSignal(target: Target, signal: EndpointSignal) {
        if (target.state.health.onSignal(signal, nowMs())) eventLog.ejected(target.endpoint.id, signal)
    }

    private fun retryBudget(pool: PoolId) =
        retryBudgets.getOrPut(pool) { SlidingWindowRetryBudget(bounds.retryRatio, bounds.retryWindowMs) }
}
