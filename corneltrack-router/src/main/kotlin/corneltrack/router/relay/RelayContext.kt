package corneltrack.router.relay

import corneltrack.policy.discovery.LeavingEndpoints
import corneltrack.policy.limits.EndpointSignal
import corneltrack.policy.limits.EventLoopLag
import corneltrack.policy.limits.PausedEndpoints
import corneltrack.policy.limits.SlidingWindowRetryBudget
import corneltrack.policy.limits.StatedLimit
import corneltrack.policy.limits.StatedPause
import corneltrack.policy.placement.TransferSuccess
import corneltrack.router.EndpointConnections
import corneltrack.router.relay.rollout.AllVersions
import corneltrack.router.relay.rollout.VersionControl
import corneltrack.router.relay.streams.StreamControl
import corneltrack.world.PoolId
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponseStatus

/** A fraction of the connection timeout, in ms. */
private const val LATE_MS = 100L

/** Holds the collaborators that all requests of one router share. Confined to the event loop. */
internal data class RelayContext(
    val loop: EventLoop,
    val headerMapping: HeaderMapping,
    val connections: EndpointConnections,
    val chooser: TargetChooser,
    val eventLog: RelayEventLog,
    val metrics: RelayMetrics,
    val unmatchedResponses: UnmatchedResponseRecorder,
    val suspects: CrashSuspects,
    val partSuspects: PartSuspects,
    val transfers: TransferSuccess,
    private val leaving: LeavingEndpoints,
    private val paused: PausedEndpoints,
    private val bounds: RelayBounds,
    private val eventLoopLag: EventLoopLag,
    private val monotonicMs: () -> Long,
    val streams: StreamControl,
    val versions: VersionControl = AllVersions,
) {
    /** What responses hold that is not passed on yet. */
    val responseMemory = ResponseMemory()
    private val retryBudgets = HashMap<PoolId, SlidingWindowRetryBudget>()

    /** Returns the current time of the monotonic clock, in ms. */
    fun nowMs(): Long = monotonicMs()

    /** Whether the event loop lags so much that it may miss what its sockets report within a connection timeout. */
    fun isLate(): Boolean = eventLoopLag.lagMs(nowMs()) > LATE_MS

    /** Records a caller's request for [pool], which adds to the pool's retry budget. */
    fun onRequest(pool: PoolId) = retryBudget(pool).onRequest(nowMs())

    /** Takes one retry from the budget of [pool]. Returns false if the budget is used up. */
    fun tryRetry(pool: PoolId): Boolean = retryBudget(pool).tryRetry(nowMs())

    /** Whether the retry budget of [pool] allows one more retry. */
    fun allowsRetry(pool: PoolId): Boolean = retryBudget(pool).allowsRetry(nowMs())

    /** Records a health signal of the endpoint and logs if it is ejected. */
    fun onHealthSignal(target: Target, signal: EndpointSignal) {
        if (target.state.health.onSignal(signal, nowMs())) eventLog.ejected(target.endpoint.id, signal)
    }

    /**
     * Records what a response with [status] says about the endpoint itself, which holds for later requests. Returns
     * whether it says that the endpoint wants nothing for a while.
     */
    fun onStatement(target: Target, status: HttpResponseStatus, metadata: ResponseMetadata): Boolean {
        onStatedLimit(target, metadata.limit)
        val pause = if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) metadata.pause else StatedPause.None
        paused.onStated(target.endpoint.id, target.state.startedAtMs, pause, nowMs())
        if (metadata.leaving) {
            leaving.onResponse(target.endpoint.id, target.state.startedAtMs, nowMs())
            connections.discard(target.endpoint.id)
        }
        return pause is StatedPause.Duration && pause.durationMs > 0
    }

    /** Returns why the endpoint of [target] gets nothing, as it said since it was chosen or before; null if it does. */
    fun ineligibility(target: Target): Ineligibility? {
        val endpoint = target.endpoint.id
        val startedAtMs = target.state.startedAtMs
        return when {
            leaving.isLeaving(endpoint, startedAtMs) -> Ineligibility.LEAVING
            paused.remainingMs(endpoint, startedAtMs, nowMs()) > 0 -> Ineligibility.PAUSED
            else -> null
        }
    }

    /** Records the limit that a response of the endpoint states, and logs if it changes or cannot be read. */
    private fun onStatedLimit(target: Target, stated: StatedLimit) {
        val state = target.state.limit
        val changed = state.onResponse(stated, nowMs())
        if (changed || stated is StatedLimit.Unreadable) {
            eventLog.limitStated(target.endpoint.id, stated, state.requestsPerSecond)
        }
    }

    private fun retryBudget(pool: PoolId) =
        retryBudgets.getOrPut(pool) { SlidingWindowRetryBudget(bounds.retryRatio, bounds.retryWindowMs) }
}
