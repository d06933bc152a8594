package corneltrack.router.relay

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counts how often copies of the store's records became too old to say what the store lacks. */
internal class ViewDoubtMetrics(registry: PrometheusRegistry) {
    private val doubts = Counter.builder().name("corneltrack_relay_view_doubts")
        .help("How often the copy of a topic became too old to say what the store lacks.").labelNames("topic")
        .register(registry)

    /** Counts that the copy of [topic] became too old. */
    fun onDoubt(topic: String) = doubts.labelValues(topic).inc()
}
