package corneltrack.router.relay

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.discovery.LeavingEndpoints
import corneltrack.policy.limits.EndpointHealth
import corneltrack.policy.limits.EndpointLimitState
import corneltrack.policy.limits.IntervalStarts
import corneltrack.policy.limits.PausedEndpoints
import corneltrack.policy.limits.SlidingWindowLimiter
import corneltrack.policy.placement.EngineLoad
import corneltrack.policy.placement.FairShareTracker
import corneltrack.policy.placement.Generation
import corneltrack.policy.placement.PaceReport
import corneltrack.policy.placement.PoolReports
import corneltrack.policy.placement.PoolSpeeds
import corneltrack.policy.placement.PrefixCacheEstimate
import corneltrack.policy.placement.PrefixCapacity
import corneltrack.policy.placement.PrefixReports
import corneltrack.policy.placement.ServiceLoad
import corneltrack.policy.placement.TransferSuccess
import corneltrack.router.heapFraction
import corneltrack.world.EndpointId
import corneltrack.world.PoolId

/** The part of the heap for what is believed of the caches of engines. */
private const val PREFIXES_HEAP_FRACTION = 0.125
private const val COLD_START_WINDOW_MS = 1_100L

/** Holds what this router has learnt of the endpoints of a pool together. */
internal class PoolLearning {
    val reports = PoolReports()
    val speeds = PoolSpeeds()

    /** The requests that were sent to an endpoint to learn how fast it is. */
    var exploredRequests = 0L
}

/**
 * Holds the health, load and prefix cache estimate of one incarnation of an endpoint.
 *
 * @property startedAtMs when the incarnation started, as its record states.
 * @property limit the limit that the endpoint states, which outlasts a restart until the endpoint has answered again.
 * @property pool what is known of the endpoint's pool.
 * @param prefixCapacity bounds the prefix cache estimates of all endpoints.
 */
internal class EndpointState(
    val startedAtMs: Long,
    val limit: EndpointLimitState = EndpointLimitState(),
    val pool: PoolLearning = PoolLearning(),
    prefixCapacity: PrefixCapacity = PrefixCapacity(Int.MAX_VALUE),
) {
    val health = EndpointHealth()
    val engine = EngineLoad(pool.speeds)
    val prefixes = PrefixCacheEstimate(prefixCapacity)
    val prefixReports = PrefixReports()
    val service = ServiceLoad(pool.reports)

    /** Records the load that the endpoint stated with a response. */
    fun onStatedLoad(stated: StatedLoad, nowMs: Long) {
        service.onReport(stated.activeRequests, nowMs)
        val pace = stated.pace ?: return
        val report = PaceReport(stated.activeRequests, pace, nowMs, stated.slots)
        pool.speeds.onPaceStated()
        service.paced.onOwnReport(report, service.running)
    }

    /** When a connection to the endpoint was last lost with a request, in monotonic ms; null if none was. */
    var lostMs: Long? = null

    /** Counts the requests started at the endpoint while it is cold. */
    val coldStarts = SlidingWindowLimiter(COLD_START_WINDOW_MS)

    /** Counts the requests started at the endpoint against the limit that it states. */
    val limitedStarts = IntervalStarts()

    /** Removes the endpoint, which is gone or has restarted, from what is known of its pool. */
    fun leavePool() {
        engine.leavePool()
        service.paced.leavePool()
        prefixes.close()
    }

    /** Records that the engine has processed the prompt of [generation], as its first event shows. */
    fun onPromptProcessed(generation: Generation, nowMs: Long) =
        prefixReports.add(prefixes.onConfirmed(generation.sharedPrefixes, nowMs), nowMs)
}

/**
 * Holds the load of the fleet, this router's and its peers', by endpoint and by workspace, and how often copies of
 * cached prefixes arrive.
 */
internal data class FleetLoad(
    val states: EndpointStates = EndpointStates(),
    val shares: FairShareTracker = FairShareTracker(),
    val transfers: TransferSuccess = TransferSuccess(),
)

/**
 * Keeps the state of each known endpoint.
 *
 * @property leaving the endpoints that have said that they leave; outlasts their states, which end with their entries.
 * @property paused until when endpoints want no requests of this router; outlasts their states too.
 */
internal class EndpointStates(
    val leaving: LeavingEndpoints = LeavingEndpoints(),
    val paused: PausedEndpoints = PausedEndpoints(),
) {
    private val states = HashMap<EndpointId, EndpointState>()
    private val pools = HashMap<PoolId, PoolLearning>()

    /** What the prefix cache estimates of all endpoints hold together. */
    val prefixCapacity = PrefixCapacity.ofBytes(heapFraction(PREFIXES_HEAP_FRACTION))

    /** Returns the state of [known]; a new one if the endpoint is unknown or has restarted. */
    fun of(known: KnownEndpoint): EndpointState {
        val id = known.entry.endpoint.id
        val current = states[id]
        if (current != null && current.startedAtMs == known.entry.startedAtMs) return current
        current?.leavePool()
        val limit = current?.limit ?: EndpointLimitState()
        val pool = pools.getOrPut(known.entry.endpoint.pool) { PoolLearning() }
        return EndpointState(known.entry.startedAtMs, limit, pool, prefixCapacity).also { states[id] = it }
    }

    /** Returns whether [known] has said that it leaves. */
    fun isLeaving(known: KnownEndpoint): Boolean = leaving.isLeaving(known.entry.endpoint.id, known.entry.startedAtMs)

    /** Returns how long [known] wants no requests of this router, in ms. */
    fun pauseRemainingMs(known: KnownEndpoint, nowMs: Long): Long =
        paused.remainingMs(known.entry.endpoint.id, known.entry.startedAtMs, nowMs)

    /** The requests that were sent to an endpoint to learn how fast it is. */
    val exploredRequests: Long get() = pools.values.sumOf { it.exploredRequests }

    /** Whether an endpoint of the deployment has stated its pace. */
    var paceStated: Boolean = false
        private set

    /** Takes the endpoints of all pools to be unequal once an endpoint of one has stated its pace. */
    fun updatePaceStated() {
        paceStated = pools.values.any { it.speeds.shared }
        if (paceStated) pools.values.forEach { it.speeds.onPaceStated() }
    }

    /** Returns the states of all endpoints. */
    fun all(): Map<EndpointId, EndpointState> = states

    /** Removes the states of endpoints that are not in [known] and run no request of this router. */
    fun retain(known: Set<EndpointId>) {
        states.entries.removeIf { (id, state) ->
            val gone = id !in known && state.engine.ownLoad.running == 0 && state.service.running == 0
            if (gone) state.leavePool()
            gone
        }
    }
}
