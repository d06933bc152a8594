package corneltrack.router

import corneltrack.world.DataCentreId
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.Unit.SECONDS
import java.io.ByteArrayOutputStream

private const val MS_PER_SECOND = 1_000.0

/** How far traffic goes: within the data centre, within the region or across regions. */
internal enum class TrafficScope { DATA_CENTRE, REGION, CROSS_REGION }

/** The metrics of one router. */
internal class RouterMetrics(private val settings: RouterSettings) {
    private val registry = PrometheusRegistry()
    private val requests = Counter.builder().name("corneltrack_requests")
        .help("Requests that ended, by pool and result.").labelNames("pool", "result").register(registry)
    private val served = Counter.builder().name("corneltrack_served_cost")
        .help("Cost served, by pool and workspace.").labelNames("pool", "workspace").register(registry)
    private val duration = Histogram.builder().name("corneltrack_request_duration_seconds").unit(SECONDS)
        .help("Time from arrival to the end of the answer.").labelNames("pool").register(registry)
    private val firstByte = Histogram.builder().name("corneltrack_first_byte_seconds").unit(SECONDS)
        .help("Time from arrival to the first byte of the answer.").labelNames("pool").register(registry)
    private val traffic = Counter.builder().name("corneltrack_traffic_bytes")
        .help("Bytes sent and received, by kind and scope.").labelNames("kind", "scope", "direction").register(registry)
    private val openRequestsGauge = Gauge.builder().name("corneltrack_requests_open")
        .help("Requests that wait or run.").register(registry)
    private val claimsGauge = Gauge.builder().name("corneltrack_claims_remembered")
        .help("Idempotency keys that this router remembers.").register(registry)
    private val configurationOffsetGauge = Gauge.builder().name("corneltrack_configuration_offset")
        .help("Offset up to which the configuration stream has been applied.").register(registry)

    fun onRequestEnd(request: RoutedRequest, result: String, elapsedMs: Long) {
        requests.labelValues(request.pool.id.value, result).inc()
        duration.labelValues(request.pool.id.value).observe(elapsedMs / MS_PER_SECOND)
    }

    fun onServed(request: RoutedRequest, cost: Long) {
        served.labelValues(request.pool.id.value, request.workspace.value).inc(cost)
    }

    fun onFirstByte(request: RoutedRequest, elapsedMs: Long) {
        firstByte.labelValues(request.pool.id.value).observe(elapsedMs / MS_PER_SECOND)
    }

    fun onRequestTraffic(remote: DataCentreId, sent: Long, received: Long) = onTraffic(
        "request",
        scopeOf(remote),
        sent,
        received
    )

    fun onControlTraffic(remote: DataCentreId, sent: Long, received: Long) = onTraffic(
        "control",
        scopeOf(remote),
        sent,
        received
    )

    /** Counts traffic with the platform's services, which run in the router's data centre. */
    fun onPlatformTraffic(sent: Long, received: Long) = onTraffic("platform", TrafficScope.DATA_CENTRE, sent, received)

    /** Returns all metrics in the Prometheus text format. */
    fun exposition(openRequests: Int, configurationOffset: Long, rememberedClaims: Int): String {
        openRequestsGauge.set(openRequests.toDouble())
        claimsGauge.set(rememberedClaims.toDouble())
        configurationOffsetGauge.set(configurationOffset.toDouble())
        val buffer = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(buffer, registry.scrape())
        return buffer.toString(Charsets.UTF_8)
    }

    private fun onTraffic(kind: String, scope: TrafficScope, sent: Long, received: Long) {
        val label = scope.name.lowercase()
        traffic.labelValues(kind, label, "sent").inc(sent)
        traffic.labelValues(kind, label, "received").inc(received)
    }

    private fun scopeOf(remote: DataCentreId): TrafficScope = when {
        remote == settings.dataCentre -> TrafficScope.DATA_CENTRE
        settings.regionOf(remote) == settings.regionOf(settings.dataCentre) -> TrafficScope.REGION
        else -> TrafficScope.CROSS_REGION
    }
}
