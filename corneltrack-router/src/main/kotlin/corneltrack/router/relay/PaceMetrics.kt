package corneltrack.router.relay

import corneltrack.world.EndpointId
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** The endpoints whose pace is exported, so that the metrics of a large pool stay small. */
private const val MAXIMUM_ENDPOINTS = 64
private const val MS_PER_SECOND = 1_000.0

/** Exports what is believed of the pace of endpoints and how many requests were sent to explore them. */
internal class PaceMetrics(registry: PrometheusRegistry) {
    private val pace = Gauge.builder().name("corneltrack_relay_endpoint_pace")
        .help("How long work is expected to take at an endpoint now, as a multiple of the usual time.")
        .labelNames("endpoint").register(registry)
    private val paceAge = Gauge.builder().name("corneltrack_relay_endpoint_pace_age_seconds")
        .help("Age of the last report of an endpoint's pace.").labelNames("endpoint").register(registry)
    private val explored = Counter.builder().name("corneltrack_relay_explored_requests")
        .help("Requests sent to an endpoint to learn how fast it is.").register(registry)
    private var exploredBefore = 0L
    private var exported = emptySet<EndpointId>()

    /** Updates the metrics from [states]; endpoints that are gone are no longer exported. */
    fun update(states: EndpointStates, nowMs: Long) {
        val known = states.all().filterValues { it.service.paced.pace.known }
        val shown = if (known.size <= MAXIMUM_ENDPOINTS) known.keys else known.keys.take(MAXIMUM_ENDPOINTS).toSet()
        (exported - shown).forEach {
            pace.remove(it.value)
            paceAge.remove(it.value)
        }
        shown.forEach { id ->
            val belief = known.getValue(id).service.paced.pace
            pace.labelValues(id.value).set(belief.at(nowMs))
            paceAge.labelValues(id.value).set((belief.ageMs(nowMs) ?: 0) / MS_PER_SECOND)
        }
        exported = shown.toSet()
        val exploredNow = states.exploredRequests
        explored.inc((exploredNow - exploredBefore).toDouble())
        exploredBefore = exploredNow
    }
}
