package corneltrack.router.relay

import corneltrack.policy.placement.EngineRequest
import corneltrack.policy.placement.PrefixTransfer
import corneltrack.router.relay.rollout.PoolPace
import corneltrack.world.Endpoint

/**
 * Holds the expected cost of one attempt.
 *
 * @property waitMs the time to the first event or to the complete response, in ms.
 * @property prefillTokens the prompt tokens that the engine has to process.
 * @property missedTokens the tokens among them that belong to shared prefixes.
 */
internal data class ExpectedCost(val waitMs: Double, val prefillTokens: Int = 0, val missedTokens: Int = 0)

/**
 * Holds the copy of a cached prefix that the target is asked to make.
 *
 * @property endpoint the engine that has the prefix.
 */
internal class PrefixSource(val endpoint: Endpoint, val transfer: PrefixTransfer)

/**
 * The version of the chosen endpoint.
 *
 * @property pace the pace of the pool, or null where no evidence about versions is gathered.
 */
internal data class TargetVersion(val name: String, val pace: PoolPace? = null)

/**
 * Holds the endpoint chosen for one attempt and the load that was added to its state.
 *
 * @property engineRequest the request as counted in the engine's load, or null where the endpoint is not an engine.
 * @property networkDelayMs the part of the time to the first event that the network takes, in ms.
 * @property prefixSource where the engine may copy the start of the prompt from, or null if it processes all of it.
 * @property version the version of the endpoint's software.
 */
internal data class Target(
    val endpoint: Endpoint,
    val state: EndpointState,
    val engineRequest: EngineRequest?,
    val networkDelayMs: Double,
    val expected: ExpectedCost,
    val prefixSource: PrefixSource? = null,
    val version: TargetVersion = TargetVersion(""),
)

/** Describes the choice of an endpoint for an attempt. */
internal sealed interface TargetDecision {
    /** The attempt is sent to [target]. */
    data class Chosen(val target: Target) : TargetDecision

    /**
     * No endpoint can serve the request in time.
     *
     * @property retryAfterMs when the caller may try again, in ms from now.
     */
    data class Refused(val reason: String, val retryAfterMs: Long) : TargetDecision
}
