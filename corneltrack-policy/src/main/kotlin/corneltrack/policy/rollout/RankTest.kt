package corneltrack.policy.rollout

import kotlin.math.ln

/** A version that is up to this many buckets slower than the baseline (a factor of 1.6) does not count as slower. */
private const val TOLERATED_BUCKETS = 2
private const val HALF = 0.5

/**
 * Returns the logarithm of a test martingale that grows if the target is slower than [TOLERATED_BUCKETS] allow.
 *
 * Each response of the target bets the fraction [stake] on its rank among the baseline's being above the middle. Ranks
 * need no assumption about the distribution of times, and a martingale may be looked at after each response.
 */
internal fun slownessLogRatio(target: IntArray, baseline: IntArray, stake: Double): Double =
    rankLogRatio(target, baseline, TOLERATED_BUCKETS, stake)

/** Returns the logarithm of a test martingale that grows if the target is not 2.5 times as slow as the baseline. */
internal fun paceLogRatio(target: IntArray, baseline: IntArray, stake: Double): Double =
    rankLogRatio(target, baseline, SLOW_BUCKETS, -stake)

private fun rankLogRatio(target: IntArray, baseline: IntArray, shift: Int, stake: Double): Double {
    val total = baseline.sum()
    var below = 0
    var sum = 0.0
    for (bucket in target.indices) {
        val compared = bucket - shift
        val equal = if (compared in baseline.indices) baseline[compared] else 0
        if (target[bucket] > 0) {
            val rank = (below + HALF * equal + HALF) / (total + 1)
            sum += target[bucket] * ln(1 + stake * (2 * rank - 1))
        }
        below += equal
    }
    return sum
}
