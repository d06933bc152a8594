package corneltrack.policy.rollout

import kotlin.math.ln
import kotlin.math.sqrt

/** The share of the counts below the median. */
private const val HALF = 0.5

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
    return comparisons.map { checkNotNull(it) }
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
    fun logRatio(nullRate: Double, increase: Double): Double = responses * drift(nullRate, increase, bad.toDouble())

    /** Returns what [logRatio] is to be expected if the target's rate is [rate]; negative. */
    fun expectedLogRatio(increase: Double): Double = responses * drift(rate, increase, responses * rate)

    private fun drift(nullRate: Double, increase: Double, bad: Double): Double {
        if (responses == 0) return 0.0
        val share = bad / responses
        val rate = nullRate + increase * (1 - nullRate)
        return share * ln(rate / nullRate) + (1 - share) * ln((1 - rate) / (1 - nullRate))
    }
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
