package corneltrack.router.relay.rollout

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.router.relay.EndpointState
import corneltrack.router.relay.EndpointStates

/**
 * Returns the pace of the [baseline]'s endpoints in relation to the [chosen] one, or null if there are none.
 *
 * Expected times are learnt per endpoint, so that those of a slow version grow with its responses. The comparison of
 * versions uses the baseline's speeds instead.
 */
internal fun poolPace(states: EndpointStates, chosen: KnownEndpoint, baseline: List<KnownEndpoint>): PoolPace? {
    if (baseline.isEmpty()) return null
    val known = baseline.map(states::of)
    val own = states.of(chosen)
    val service = known.usual { service.serviceTimeMs } / own.service.serviceTimeMs
    val prefill = known.usual { engine.prefillMsPerToken } / own.engine.prefillMsPerToken
    val generates = own.engine.ownLoad.running > 0
    return PoolPace(if (generates) prefill else service, known.usual { engine.decodeMsPerToken })
}

private fun List<EndpointState>.usual(value: EndpointState.() -> Double): Double = sumOf { it.value() } / size
