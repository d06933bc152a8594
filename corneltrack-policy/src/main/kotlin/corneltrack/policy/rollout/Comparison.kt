package corneltrack.policy.rollout

import kotlin.math.ln
import kotlin.math.sqrt

/** The share of the counts below the median. */
private const val HALF = 0.5

/** Fewer responses of the baseline, as after the shift, are no measure of times; those of earlier slices then join. */
private const val MINIMUM_BASELINE = 50

/** The responses of both versions on one route since the start of a time slice. */
internal class Comparison(val target: SliceCounters, val baseline: SliceCounters) {
    val failures: Sample
        get() = Sample(target.responses, target.failures, baseline.responses, baseline.failures)
    val slowFirstEvents: Sample by lazy(LazyThreadSafetyMode.NONE) { slow(target.firstEvents, baseline.firstEvents) }
    val slowPauses: Sample by lazy(LazyThreadSafetyMode.NONE) { slow(target.pauses, baseline.pauses) }

    private fun slow(target: IntArray, baseline: IntArray): Sample {
        val limit = medianBucket(baseline) + SLOW_BUCKETS
        return Sample(target.sum(), target.sumFrom(limit), baseline.sum(), baseline.sumFrom(limit))
    }
}

/**
 * Returns the comparisons of one route that begin at each time slice and last to the present.
 *
 * A version that turns bad later is found by those that begin later, without the good responses before.
 */
internal fun RouteCounters.comparisons(): List<Comparison> {
    val comparisons = arrayOfNulls<Comparison>(EVIDENCE_SLICES)
    for (slice in EVIDENCE_SLICES - 1 downTo 0) {
        val later = comparisons.getOrNull(slice + 1)
        comparisons[slice] = Comparison(target[slice].plus(later?.target), baseline[slice].plus(later?.baseline))
    }
    return comparisons.filterNotNull().runningReduce { longer, shorter ->
        if (shorter.baseline.responses < MINIMUM_BASELINE) Comparison(shorter.target, longer.baseline) else shorter
    }
}

private fun SliceCounters.plus(other: SliceCounters?): SliceCounters = SliceCounters().also {
    it.add(this)
    if (other != null) it.add(other)
}

/**
 * The bad ones among the responses of both versions.
 *
 * @property rate the estimated rate of bad responses of the baseline.
 * @property rateError the standard error of [rate].
 */
internal class Sample(val responses: Int, val bad: Int, val baselineResponses: Int, baselineBad: Int) {
    val rate: Double = (baselineBad + HALF) / (baselineResponses + 1)
    val rateError: Double = sqrt(rate * (1 - rate) / (baselineResponses + 1))

    /**
     * Returns the logarithm of the likelihood ratio of the target's responses between a rate that is by [increase] of
     * the good ones above [nullRate], and [nullRate].
     */
    fun logRatio(nullRate: Double, increase: Double): Double {
        val rate = nullRate + increase * (1 - nullRate)
        return bad * ln(rate / nullRate) + (responses - bad) * ln((1 - rate) / (1 - nullRate))
    }

    /** Returns the rate of bad responses if [increase] of the good ones turn bad. */
    fun increased(increase: Double): Double = rate + increase * (1 - rate)

    /** Returns the mean of the [logRatio] against [rate] if the target's rate is [truth]. */
    fun expectedLogRatio(increase: Double, truth: Double): Double =
        responses * (ln(1 - increase) + truth * weight(increase))

    /** Returns the variance of the [logRatio] against [rate] if the target's rate is [truth]. */
    fun logRatioVariance(increase: Double, truth: Double): Double =
        responses * truth * (1 - truth) * weight(increase) * weight(increase)

    /** What a bad response adds to the logarithm beyond a good one. */
    private fun weight(increase: Double): Double = ln(increased(increase) / rate) - ln(1 - increase)
}

/** Returns the bucket that contains the median; 0 if there are no counts. */
internal fun medianBucket(buckets: IntArray): Int {
    val half = buckets.sum() * HALF
    var below = 0
    return buckets.indices.firstOrNull { bucket ->
        below += buckets[bucket]
        below > half
    } ?: 0
}

private fun IntArray.sumFrom(first: Int): Int = (first until size).sumOf { this[it] }
