package corneltrack.world.routing

import corneltrack.world.PoolId
import corneltrack.world.RegionId

/** Tells what may be repeated of a request. */
public enum class ExecutionSemantics {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request may run once at most. */
    AT_MOST_ONCE,
}

/** Tells how the answers of a route are delivered. */
public enum class ResponseMode {
    /** One body, delivered whole. */
    COMPLETE,

    /** A series of numbered events, delivered as they arrive. */
    EVENT_STREAM,
}

/** Sends a part of a route's requests to [pool], in proportion to [weight]. */
public data class WeightedPool(val pool: PoolId, val weight: Double)

/**
 * Sends the requests of one host below one path to pools of endpoints.
 *
 * @property host the host without a port, in lower case.
 * @property pathPrefix begins and ends with a slash.
 * @property resumable whether an answer of events may go on at another endpoint after its last event.
 * @property timeoutMs the longest time that a request is kept waiting for its whole answer.
 * @property objectiveMs the time within which an answer, or its first event, has its full value.
 * @property pauseLimitMs the longest pause between two events at which an answer has its full value.
 * @property priority the rank; 0 is the most urgent.
 * @property maximumAttempts the most endpoints that one request may be sent to.
 * @property public whether callers need no key.
 * @property regions the only regions that may serve the route; empty for all.
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
    /** Whether a request that may have run may be sent to another endpoint from its start. */
    val idempotent: Boolean get() = semantics == ExecutionSemantics.IDEMPOTENT
}
