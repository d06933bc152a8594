package corneltrack.policy.rollout

import kotlin.math.floor
import kotlin.math.ln

/**
 * The buckets of a histogram of ratios; they cover 0.01 to 80. Only ratios of two versions on one route are compared
 * with each other, so that the expected time may be wrong by some constant factor.
 */
internal const val RATIO_BUCKETS = 40

/** Three buckets double the ratio, so that neighbours differ by a factor of 1.26. */
private const val BUCKETS_PER_DOUBLING = 3

/** The bucket that begins at half a bucket below the ratio 1. */
private const val BUCKET_OF_ONE = 20
private const val HALF = 0.5

/** A slow response exceeds the median of the baseline by four buckets, a factor of 2.5. */
internal const val SLOW_BUCKETS = 4

/** Returns the histogram bucket of a [ratio] of observed to expected time; ratios outside the range go to the ends. */
public fun ratioBucket(ratio: Double): Int {
    val position = ln(maxOf(ratio, Double.MIN_VALUE)) / ln(2.0) * BUCKETS_PER_DOUBLING
    return (floor(position + HALF).toInt() + BUCKET_OF_ONE).coerceIn(0, RATIO_BUCKETS - 1)
}
