package corneltrack.router.relay

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.limits.EndpointHealth
import corneltrack.policy.limits.SlidingWindowLimiter
import corneltrack.policy.placement.EngineLoad
import corneltrack.policy.placement.FairShareTracker
import corneltrack.policy.placement.PrefixCacheEstimate
import corneltrack.policy.placement.ServiceLoad
import corneltrack.world.EndpointId

private const val COLD_START_WINDOW_MS = 1_100L

/** Holds what this router has learned of one incarnation of an endpoint. */
internal class EndpointState(val startedAtMs: Long) {
    val health = EndpointHealth()
    val engine = EngineLoad()
    val prefixes = PrefixCacheEstimate()
    val service = ServiceLoad()

    /** What was sent while it was cold. */
    val coldStarts = SlidingWindowLimiter(COLD_START_WINDOW_MS)
}

/** Holds what the routers have under way: at each endpoint and for each workspace. */
internal data class FleetLoad(
    val states: EndpointStates = EndpointStates(),
    val shares: FairShareTracker = FairShareTracker(),
)

/** Keeps the state of each known endpoint. */
internal class EndpointStates {
    private val states = HashMap<EndpointId, EndpointState>()

    /** Returns the state of [known], a new one where it has started again. */
    fun of(known: KnownEndpoint): EndpointState {
        val id = known.entry.endpoint.id
        val current = states[id]
        if (current != null && current.startedAtMs == known.entry.startedAtMs) return current
        return EndpointState(known.entry.startedAtMs).also { states[id] = it }
    }

    /** Returns all states by endpoint. */
    fun all(): Map<EndpointId, EndpointState> = states

    /** Forgets the endpoints that are not among [known] and have nothing under way. */
    fun retain(known: Set<EndpointId>) {
        states.entries.removeIf { (id, state) ->
            id !in known && state.engine.ownLoad.running == 0 && state.service.running == 0
        }
    }
}
