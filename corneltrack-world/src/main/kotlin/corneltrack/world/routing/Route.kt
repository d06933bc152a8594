package corneltrack.world.routing

import corneltrack.world.PoolId
import corneltrack.world.RegionId

/** Describes whether a request may be executed more than once. */
public enum class ExecutionSemantics {
    /** The request may safely run any number of times, so it may be retried after it may have run. */
    IDEMPOTENT,

    /** The request must not run twice, so it is retried only if it certainly has not run. */
    AT_MOST_ONCE,
}

/** Describes how the responses of a route are delivered. */
public enum class ResponseMode {
    /** One body that is delivered as a complete response. */
    COMPLETE,

    /** A stream of numbered events that are delivered as they arrive. */
    EVENT_STREAM,
}

/** Assigns [pool] a share of a route's requests that is proportional to [weight]. */
public data class WeightedPool(val pool: PoolId, val weight: Double)

/**
 * Routes the requests for one host and path prefix to pools of endpoints.
 *
 * @property host the host name without a port, in lower case.
 * @property pathPrefix the prefix of the path; starts and ends with a slash.
 * @property resumable whether another endpoint may continue an event stream after the last event delivered.
 * @property timeoutMs the time limit for the complete response, in ms.
 * @property objectiveMs the latency objective for a complete response or the first event of a stream, in ms.
 * @property pauseLimitMs the longest pause between two events of a stream that meets the objective, in ms.
 * @property priority the priority of the requests; 0 is the highest.
 * @property maximumAttempts the maximum number of endpoints that one request is sent to.
 * @property public whether callers need no API key.
 * @property regions the only regions that may serve the route; empty if all may.
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val semantics: ExecutionSemantics,
    val responseMode: ResponseMode,
    val resumable: Boolean,
    val timeoutMs: Long,
    val objectiveMs: Long,
    val pauseLimitMs: Long,
    val priority: Int,
    val maximumAttempts: Int,
    val public: Boolean,
    val pools: List<WeightedPool>,
    val regions: Set<RegionId> = emptySet(),
) {
    /** Whether a request that may have run may be retried from its start at another endpoint. */
    val idempotent: Boolean get() = semantics == ExecutionSemantics.IDEMPOTENT
}
