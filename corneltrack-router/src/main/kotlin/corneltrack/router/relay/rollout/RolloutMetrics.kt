package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.RolloutPhase
import corneltrack.policy.rollout.RolloutResponse
import corneltrack.world.PoolId
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counts the requests and responses of the versions of a pool. */
internal class RolloutMetrics(registry: PrometheusRegistry) {
    private val attempts = Counter.builder().name("corneltrack_relay_version_attempts")
        .help("Attempts sent, by the pool and the version of the endpoint.").labelNames("pool", "version")
        .register(registry)
    private val responses = Counter.builder().name("corneltrack_relay_version_responses")
        .help("Responses that count as evidence during a roll-out, by pool, version and result.")
        .labelNames("pool", "version", "result").register(registry)
    private val phase = Gauge.builder().name("corneltrack_relay_rollout_phase")
        .help("Phase of the pool's last roll-out: 0 trial, 1 shifting, 2 completed, 3 rolled back.")
        .labelNames("pool", "version").register(registry)

    fun onSent(pool: PoolId, version: String) = attempts.labelValues(pool.value, version).inc()

    fun onResponse(pool: PoolId, response: RolloutResponse) =
        responses.labelValues(pool.value, response.version, if (response.failed) "failed" else "ok").inc()

    fun onPhase(pool: PoolId, target: String, current: RolloutPhase) =
        phase.labelValues(pool.value, target).set(current.ordinal.toDouble())
}
