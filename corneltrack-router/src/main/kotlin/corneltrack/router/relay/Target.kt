package corneltrack.router.relay

import corneltrack.policy.placement.EngineRequest
import corneltrack.policy.placement.PrefixTransfer
import corneltrack.router.relay.rollout.PoolPace
import corneltrack.world.Endpoint
import corneltrack.world.routing.Route

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

/** A pooled connection that turns out to be closed costs an idempotent request only a retry. */
private const val IDEMPOTENT_MAXIMUM_IDLE_MS = 2_000L

/**
 * Shorter than any idle timeout that an endpoint can declare: a request that must not run twice cannot be retried when
 * the endpoint closes the connection as it is sent.
 */
private const val AT_MOST_ONCE_MAXIMUM_IDLE_MS = 500L

/** How long a connection may have been idle on which a request of this route is sent, in ms. */
internal val Route.maximumIdleMs: Long
    get() = if (idempotent) IDEMPOTENT_MAXIMUM_IDLE_MS else AT_MOST_ONCE_MAXIMUM_IDLE_MS

/** Describes the choice of an endpoint for an attempt. */
internal sealed interface TargetDecision {
    /** The attempt is sent to [target]. */
    data class Chosen(val target: Target) : TargetDecision

    /** All endpoints are expected to be full; the request is decided anew after [retryMs]. */
    data class Held(val retryMs: Long) : TargetDecision

    /**
     * No endpoint can serve the request in time.
     *
     * @property retryAfterMs when the caller may try again, in ms from now.
     */
    data class Refused(val reason: String, val retryAfterMs: Long) : TargetDecision
}
