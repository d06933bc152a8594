package corneltrack.router.relay

import corneltrack.policy.limits.SlidingWindowLimiter
import corneltrack.wire.event
import corneltrack.world.EndpointId
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.apache.logging.log4j.LogManager

/** The lines in one second; the metrics count all that is recorded. */
private const val MAXIMUM_LINES = 20
private const val LOG_WINDOW_MS = 1_000L
private val logger = LogManager.getLogger("corneltrack.router.relay.RelayJournal")

/**
 * Describes a response that does not belong to the request that was last sent on its connection.
 *
 * @property status the status code of the response.
 */
internal data class UnmatchedResponse(val status: Int, val owner: ResponseOwner, val metadata: ResponseMetadata)

/** Logs and counts what endpoints send that no request waits for. Confined to the event loop. */
internal class UnmatchedResponseRecorder(registry: PrometheusRegistry) {
    private val responses = Counter.builder().name("corneltrack_relay_unmatched_responses")
        .help("Responses that did not belong to the request on their connection, by whose they were.")
        .labelNames("owner").register(registry)
    private val unrequestedData = Counter.builder().name("corneltrack_relay_unrequested_data")
        .help("Idle connections that were closed since an endpoint sent something on them.").register(registry)
    private val logged = SlidingWindowLimiter(LOG_WINDOW_MS)

    /**
     * Records that [response] arrived while [call] waited for its own.
     *
     * @param reused whether the connection has carried other requests.
     */
    fun onUnmatched(call: RelayedCall, target: Target, response: UnmatchedResponse, reused: Boolean, nowMs: Long) {
        val owner = response.owner.name.lowercase()
        responses.labelValues(owner).inc()
        if (!mayLog(nowMs)) return
        logger.event("response_unmatched") {
            field("request", call.id)
            field("endpoint", target.endpoint.id)
            field("status", response.status)
            field("stated_requests", response.metadata.requestIds)
            field("owner", owner)
            field("signed", response.metadata.authentic)
            field("not_run", response.metadata.notRun)
            field("reused", reused)
        }
    }

    /** Records that an idle connection is closed since [endpoint] sent something on it. */
    fun onUnrequestedData(endpoint: EndpointId, nowMs: Long) {
        unrequestedData.inc()
        if (mayLog(nowMs)) logger.event("connection_unrequested_data") { field("endpoint", endpoint) }
    }

    private fun mayLog(nowMs: Long): Boolean {
        val allowed = logged.allows(MAXIMUM_LINES, nowMs)
        if (allowed) logged.onEvent(nowMs)
        return allowed
    }
}
