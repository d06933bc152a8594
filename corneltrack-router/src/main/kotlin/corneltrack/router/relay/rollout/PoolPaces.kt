package corneltrack.router.relay.rollout

import corneltrack.router.relay.EndpointState

/** An endpoint that nobody has tried, whose speeds stand for those of any endpoint. */
private val UNTRIED = EndpointState(startedAtMs = 0)

/**
 * Returns the pace that an endpoint with [own] speeds is compared with.
 *
 * Expected times are learnt per endpoint, so that those of a slow version grow with its responses. The comparison of
 * versions uses the same fixed speeds for all endpoints instead. What they are does not matter, since only ratios of
 * two versions on one route are compared.
 */
internal fun paceOf(own: EndpointState): PoolPace = PoolPace(
    serviceFactor = UNTRIED.service.serviceTimeMs / own.service.serviceTimeMs,
    prefillFactor = UNTRIED.engine.prefillMsPerToken / own.engine.prefillMsPerToken,
    pauseMs = UNTRIED.engine.decodeMsPerToken,
)
