package corneltrack.router.relay

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.limits.ColdStartSchedule
import corneltrack.world.routing.RoutedPool

/**
 * Selects the endpoints that may serve an attempt. Confined to the event loop.
 *
 * @param isColdStartTurn whether it is this router's turn to start requests at cold endpoints.
 */
internal class EligibleEndpoints(
    private val settings: RelaySettings,
    private val routingState: RoutingState,
    private val states: EndpointStates,
    private val isColdStartTurn: (ColdStartSchedule) -> Boolean,
) {
    /**
     * Returns the allowed endpoints for the next attempt of [call]; leaves out ejected ones and then cold ones as long
     * as others remain.
     */
    fun forCall(call: RelayedCall, nowMs: Long): List<KnownEndpoint> {
        val allowed = routingState.directory.inPool(call.pool.id).filter { known -> isAllowed(call, known) }
        val healthy = allowed.filterNot { states.of(it).health.isEjected(nowMs) }
        val usable = healthy.ifEmpty { allowed }
        val warm = usable.filter { it.coldUntilMs <= nowMs }
        return warm.ifEmpty { usable.filter { allowsColdStart(call.pool, it, nowMs) } }
    }

    /** Counts the start against the cold-start limit if the endpoint is cold, and returns the endpoint's state. */
    fun recordStart(known: KnownEndpoint, nowMs: Long): EndpointState {
        val state = states.of(known)
        if (known.coldUntilMs > nowMs) state.coldStarts.onEvent(nowMs)
        return state
    }

    private fun isAllowed(call: RelayedCall, known: KnownEndpoint): Boolean {
        val endpoint = known.entry.endpoint
        return known.entry.live &&
            endpoint.id !in call.triedEndpoints &&
            endpoint.dataCentre !in routingState.evacuated &&
            (call.regions.isEmpty() || settings.regions[endpoint.dataCentre] in call.regions)
    }

    private fun allowsColdStart(pool: RoutedPool, known: KnownEndpoint, nowMs: Long): Boolean {
        if (pool.coldStartRequestsPerSecond <= 0) return true
        val bounds = settings.bounds
        val limit = (pool.coldStartRequestsPerSecond * bounds.coldStartBurstFactor + bounds.coldStartSlack).toInt()
        return states.of(known).coldStarts.allows(1, nowMs) && isColdStartTurn(ColdStartSchedule(limit))
    }
}
