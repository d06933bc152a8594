package corneltrack.router.relay.streams

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counts the streams that callers take up after they were broken off. */
internal class StreamMetrics(registry: PrometheusRegistry) {
    private val takenUp = Counter.builder().name("corneltrack_relay_streams_taken_up")
        .help("Broken streams that callers took up, by where they go on.").labelNames("continuation").register(registry)

    /** Counts a stream that a caller takes up. */
    fun onTakenUp(continuation: StreamContinuation) = takenUp.labelValues(continuation.label).inc()
}
