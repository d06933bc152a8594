package corneltrack.world.routing

import corneltrack.world.Endpoint
import corneltrack.world.MemberState

/**
 * Holds what an endpoint last said of itself.
 *
 * An endpoint that starts again may keep its name; its [startedAtMs] then grows and its [sequence] starts anew.
 *
 * @property startedAtMs when the process started, in ms since the epoch; 0 where it did not say.
 * @property sequence counts what it said since its start.
 * @property coldStartRemainingMs how long it stays cold, in ms from when it said so.
 * @property concurrency the requests that it runs at once.
 */
public data class EndpointEntry(
    val endpoint: Endpoint,
    val startedAtMs: Long,
    val sequence: Long,
    val concurrency: Int,
    val coldStartRemainingMs: Long,
) {
    /** Whether it takes new work. */
    val live: Boolean get() = endpoint.state == MemberState.LIVE

    /** Returns whether this was said before [other]. */
    public fun isOlderThan(other: EndpointEntry): Boolean =
        startedAtMs < other.startedAtMs || (startedAtMs == other.startedAtMs && sequence < other.sequence)
}
