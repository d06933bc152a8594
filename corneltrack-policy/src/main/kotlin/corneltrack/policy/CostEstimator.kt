package corneltrack.policy

import java.util.concurrent.ConcurrentHashMap

private const val COST_SMOOTHING = 0.2

/**
 * Predicts the cost of a request by an exponential moving average of completed requests.
 *
 * Costs are in units of the pool: tokens for a model, slot-milliseconds for a plain service. Thread-safe.
 *
 * @param prior the estimate for a key without completed requests.
 */
public class CostEstimator<K : Any>(private val prior: Double) {
    private val means = ConcurrentHashMap<K, Double>()

    /** Returns the expected cost of a request of [key]. */
    public fun estimate(key: K): Double = means[key] ?: prior

    /** Records the actual [cost] of a completed request of [key]. */
    public fun record(key: K, cost: Double) {
        means.merge(key, cost) { mean, latest -> mean + COST_SMOOTHING * (latest - mean) }
    }
}
