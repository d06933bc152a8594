package corneltrack.router.relay

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.limits.ColdStartSchedule
import corneltrack.policy.placement.ServiceCandidate
import corneltrack.policy.placement.ServiceDecision
import corneltrack.policy.placement.placeServiceRequest

private const val NO_ENDPOINT_RETRY_MS = 1_000L

/**
 * Chooses the endpoint of each attempt among those that may serve the request and are not ejected. Confined to the
 * event loop.
 *
 * @param isColdStartTurn whether it is this router's turn to start requests at cold endpoints.
 */
internal class TargetChooser(
    private val settings: RelaySettings,
    routingState: RoutingState,
    load: FleetLoad,
    isColdStartTurn: (ColdStartSchedule) -> Boolean,
) {
    private val states = load.states
    private val endpoints = EligibleEndpoints(settings, routingState, states, isColdStartTurn)
    private val engines = EngineChooser(settings, routingState, load, endpoints)

    /** Chooses an endpoint for an attempt of [call] and adds the request to the endpoint's load. */
    fun choose(call: RelayedCall, nowMs: Long): TargetDecision {
        val eligible = endpoints.forCall(call, nowMs)
        val generation = call.generation
        val profile = call.pool.engine
        return when {
            eligible.isEmpty() -> TargetDecision.Refused("no endpoint", NO_ENDPOINT_RETRY_MS)
            generation != null && profile != null -> engines.choose(call, generation, profile, eligible, nowMs)
            else -> chooseService(call, eligible, nowMs)
        }
    }

    private fun chooseService(call: RelayedCall, eligible: List<KnownEndpoint>, nowMs: Long): TargetDecision {
        val known = eligible.associateBy { it.entry.endpoint.id }
        val timeLeftMs = (call.times.responseDeadlineMs - nowMs).toDouble()
        return when (val decision = placeServiceRequest(eligible.map { it.candidate() }, timeLeftMs, nowMs)) {
            is ServiceDecision.Refused -> TargetDecision.Refused("endpoints have long queues", decision.retryAfterMs)
            is ServiceDecision.Chosen -> {
                val chosen = known.getValue(decision.candidate.id)
                val state = endpoints.recordStart(chosen, nowMs)
                state.service.onSent()
                val expected = ExpectedCost(decision.responseTimeMs)
                TargetDecision.Chosen(
                    Target(chosen.entry.endpoint, state, null, decision.candidate.networkDelayMs, expected),
                )
            }
        }
    }

    private fun KnownEndpoint.candidate() = ServiceCandidate(
        id = entry.endpoint.id,
        load = states.of(this).service,
        concurrency = maxOf(1, entry.concurrency),
        networkDelayMs = settings.networkDelayMs(entry.endpoint),
    )
}
