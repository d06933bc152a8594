package corneltrack.router.relay

import corneltrack.policy.discovery.LeavingSource
import corneltrack.policy.limits.RelayAttemptResult
import corneltrack.router.callers.Refusal
import corneltrack.router.logging.droppedEntries
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.Unit.SECONDS
import java.io.ByteArrayOutputStream

private const val MS_PER_SECOND = 1_000.0
private const val RESULT_DETAIL_SEPARATOR = ','

/** Collects the metrics of one router and renders them in the Prometheus text format. */
internal class RelayMetrics {
    /** Holds all metrics of the router, also those that others register. */
    val registry: PrometheusRegistry = PrometheusRegistry()
    private val requests = Counter.builder().name("corneltrack_relay_requests")
        .help("Requests that ended, by route and result.").labelNames("route", "result").register(registry)
    private val attempts = Counter.builder().name("corneltrack_relay_failed_attempts")
        .help("Attempts that failed, by how.").labelNames("end").register(registry)
    private val admissionRefusals = Counter.builder().name("corneltrack_relay_admission_refusals")
        .help("Requests refused before an endpoint was looked for, by reason.").labelNames("reason").register(registry)
    private val placementRefusals = Counter.builder().name("corneltrack_relay_placement_refusals")
        .help("Prompts refused by all engines, by reason and by the workspace's tokens against its fair share.")
        .labelNames("reason", "share").register(registry)
    private val leavingEndpoints = Counter.builder().name("corneltrack_relay_leaving_endpoints")
        .help("Endpoints that were learned to leave from a response, by who received it.").labelNames("source")
        .register(registry)
    private val pausedEndpoints = Counter.builder().name("corneltrack_relay_paused_endpoints")
        .help("Pauses that endpoints began by saying for how long they want no requests.").register(registry)
    private val firstEvent = Histogram.builder().name("corneltrack_relay_first_event_seconds").unit(SECONDS)
        .help("Time from arrival to the first event.").labelNames("route").register(registry)
    private val pause = Histogram.builder().name("corneltrack_relay_longest_pause_seconds").unit(SECONDS)
        .help("Longest time between two events of an answer.").labelNames("route").register(registry)
    private val duration = Histogram.builder().name("corneltrack_relay_request_duration_seconds").unit(SECONDS)
        .help("Time from arrival to the end of the answer.").labelNames("route").register(registry)
    private val cachedStateAge = Gauge.builder().name("corneltrack_relay_belief_age_seconds")
        .help("Age of what is known from the store.").labelNames("belief").register(registry)
    private val lag = Gauge.builder().name("corneltrack_relay_event_loop_lag_seconds")
        .help("Longest lag of the event loop in the last second.").register(registry)
    private val connections = Gauge.builder().name("corneltrack_relay_caller_connections")
        .help("Open connections of callers.").register(registry)
    private val openRequests = Gauge.builder().name("corneltrack_relay_open_requests")
        .help("Requests whose response has not been written.").register(registry)
    private val reportingPeers = Gauge.builder().name("corneltrack_relay_reporting_peers")
        .help("Peers whose rates are part of the fair share.").register(registry)

    private val heldBodies = Gauge.builder().name("corneltrack_relay_held_body_bytes")
        .help("Bytes held for the bodies of requests.").register(registry)
    private val heldResponses = Gauge.builder().name("corneltrack_relay_held_response_bytes")
        .help("Bytes of responses that are not passed on yet.").register(registry)
    private val prefixSegments = Gauge.builder().name("corneltrack_relay_prefix_segments")
        .help("Prompt segments that are believed to be cached by engines.").register(registry)
    private val droppedLogLines = Counter.builder().name("corneltrack_log_lines_dropped")
        .help("Lines of the log that were dropped since nobody read it.").register(registry)
    private val warmUpRequests = Gauge.builder().name("corneltrack_relay_warm_up_requests")
        .help("Made-up requests that were run to have the code compiled, once all have.").register(registry)

    /** How often copies of the store's records became too old to say what it lacks. */
    val viewDoubts: ViewDoubtMetrics = ViewDoubtMetrics(registry)

    /** What callers hold beside bodies. */
    val callers: CallerMemoryMetrics = CallerMemoryMetrics(registry)

    /** Records that [requests] made-up requests have been run. */
    fun onWarmedUp(requests: Int) = warmUpRequests.set(requests.toDouble())

    /**
     * Records what the bodies of requests hold, and what responses hold that is not passed on yet, in bytes, and how
     * many prompt [segments] are believed to be cached by engines.
     */
    fun onHeld(bodies: Long, responses: Long, segments: Int) {
        prefixSegments.set(segments.toDouble())
        heldBodies.set(bodies.toDouble())
        heldResponses.set(responses.toDouble())
    }

    /** Records the load of the router. */
    fun onLoad(load: RouterLoad) {
        lag.set(load.lagMs / MS_PER_SECOND)
        connections.set(load.connections.toDouble())
        openRequests.set(load.requests.toDouble())
        reportingPeers.set(load.reportingPeers.toDouble())
    }

    /** Records the completion of [call]. Details of [result] after a comma are dropped to limit the label's values. */
    fun onEnded(call: RelayedCall, result: String, nowMs: Long) {
        val route = call.route.name
        requests.labelValues(route, result.substringBefore(RESULT_DETAIL_SEPARATOR)).inc()
        duration.labelValues(route).observe((nowMs - call.times.arrivedMs) / MS_PER_SECOND)
        call.firstEventMs?.let {
            firstEvent.labelValues(route).observe((it - call.times.arrivedMs) / MS_PER_SECOND)
            pause.labelValues(route).observe(call.longestPauseMs / MS_PER_SECOND)
        }
    }

    /** Counts a request refused before an endpoint was looked for. */
    fun onRefusedAtAdmission(refusal: Refusal) = admissionRefusals.labelValues(refusal.code).inc()

    /** Counts a prompt that no engine took. */
    fun onNotPlaced(call: RelayedCall, reason: String) {
        val share = when (val ratio = call.fairShareRatio) {
            null -> "uncontended"
            else -> if (ratio < 1) "below" else "above"
        }
        placementRefusals.labelValues(reason.substringBefore(RESULT_DETAIL_SEPARATOR), share).inc()
    }

    /** Counts an endpoint that is learned to leave. */
    fun onLeaving(source: LeavingSource) = leavingEndpoints.labelValues(source.name.lowercase()).inc()

    /** Counts a pause that an endpoint begins. */
    fun onPaused() = pausedEndpoints.inc()

    /** Counts an attempt that failed. */
    fun onAttemptFailed(result: RelayAttemptResult) = attempts.labelValues(result.javaClass.simpleName).inc()

    /**
     * Returns all metrics as text.
     *
     * @param operatorAgeMs the age of the cached operator records in ms, or null if unknown.
     * @param endpointAgeMs the age of the cached endpoint records in ms, or null if unknown.
     */
    fun text(operatorAgeMs: Long?, endpointAgeMs: Long?): String {
        operatorAgeMs?.let { cachedStateAge.labelValues("operator").set(it / MS_PER_SECOND) }
        endpointAgeMs?.let { cachedStateAge.labelValues("endpoints").set(it / MS_PER_SECOND) }
        droppedLogLines.inc(droppedEntries - droppedLogLines.get())
        val bytes = ByteArrayOutputStream()
        PrometheusTextFormatWriter(false).write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }
}
