package corneltrack.router.relay

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counts the reads of the store's topics and the records that made reads unnecessary. */
internal class StoreReadRecorder(registry: PrometheusRegistry) {
    private val reads = Counter.builder().name("corneltrack_relay_store_reads")
        .help("Calls to read a topic of the store, by topic and cause.").labelNames("topic", "cause").register(registry)
    private val takenRecords = Counter.builder().name("corneltrack_relay_peer_records")
        .help("Records taken from a peer instead of the store, by topic.").labelNames("topic").register(registry)

    /** Counts a call to read [topic] from the store. */
    fun onStoreCall(topic: String, cause: StoreCallCause) = reads.labelValues(topic, cause.name.lowercase()).inc()

    /** Counts [records] of [topic] that were taken from a peer. */
    fun onRecordsTaken(topic: String, records: Int) = takenRecords.labelValues(topic).inc(records.toLong())
}
