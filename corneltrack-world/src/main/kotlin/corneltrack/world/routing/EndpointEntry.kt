package corneltrack.world.routing

import corneltrack.world.Endpoint
import corneltrack.world.MemberState

/**
 * Holds the latest record that an endpoint has published about itself.
 *
 * A restarted endpoint may keep its id. Its [startedAtMs] is then later and its [sequence] starts over.
 *
 * @property startedAtMs when the process started, in ms since the epoch; 0 if the record does not state it.
 * @property sequence the number of the record since the process started.
 * @property concurrency the number of requests that the endpoint runs at once.
 * @property coldStartRemainingMs the remaining time of the cold start when the record was published, in ms.
 * @property version the version of the endpoint's software; empty if the record does not state it.
 */
public data class EndpointEntry(
    val endpoint: Endpoint,
    val startedAtMs: Long,
    val sequence: Long,
    val concurrency: Int,
    val coldStartRemainingMs: Long,
    val version: String = "",
) {
    /** Whether the endpoint accepts new requests. */
    val live: Boolean get() = endpoint.state == MemberState.LIVE

    /** Whether this record was published before [other]. */
    public fun isOlderThan(other: EndpointEntry): Boolean =
        startedAtMs < other.startedAtMs || (startedAtMs == other.startedAtMs && sequence < other.sequence)
}
