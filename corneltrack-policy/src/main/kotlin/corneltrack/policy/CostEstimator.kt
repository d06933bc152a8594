package corneltrack.policy

import java.util.concurrent.ConcurrentHashMap

private const val COST_SMOOTHING = 0.2

/**
 * Predicts the cost of a request from those that ended before.
 *
 * Costs are in units of the pool: tokens for a model, slot-milliseconds for a plain service. Thread-safe.
 *
 * @param prior the estimate before anything is known.
 */
public class CostEstimator<K : Any>(private val prior: Double) {
    private val means = ConcurrentHashMap<K, Double>()

    /** Returns the expected cost of a request of [key]. */
    public fun estimate(key: K): Double = means[key] ?: prior

    /** Learns that a request of [key] cost [cost] in the end. */
    public fun record(key: K, cost: Double) {
        means.merge(key, cost) { mean, latest -> mean + COST_SMOOTHING * (latest - mean) }
    }
}
