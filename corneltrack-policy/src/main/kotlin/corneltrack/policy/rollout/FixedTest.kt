package corneltrack.policy.rollout

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/** Where both errors cannot be kept small, completing a bad version counts this many times as much as the other one. */
private const val BAD_COST = 2.0

/** The two errors of a test, as probabilities. */
internal class ErrorRates(val badJudgedGood: Double, goodJudgedBad: Double) {
    val badDeviations: Double = normalDeviations(badJudgedGood)
    val goodDeviations: Double = normalDeviations(goodJudgedBad)
}

/**
 * A test of whether the rate of bad responses is by [increase] of the good ones above the baseline's.
 *
 * The likelihood ratio of the [samples] weighs a bad response by how rare it is on its route. Its distribution under
 * either rate is taken as normal, which is on the safe side where few bad responses are expected.
 */
internal class FixedTest(private val samples: List<Sample>, private val increase: Double) {
    private val logRatio = samples.sumOf { it.logRatio(it.rate, increase) }

    /** Whether the responses are at least as likely if the version is good. */
    val favoursGood: Boolean get() = logRatio <= 0

    /** Whether the responses favour a good version by [BAD_COST], or by half of what is expected of a good one. */
    val resemblesGood: Boolean
        get() = logRatio <= maxOf(-ln(BAD_COST), samples.sumOf { it.expectedLogRatio(increase, it.rate) } / 2)

    /** Returns whether a version with the increased rate would do as well with at most the allowed probability. */
    fun excludes(rates: ErrorRates): Boolean = logRatio <= limit(rates)

    /** Returns whether there are enough responses for a good version to pass [excludes] with all but its error rate. */
    fun decides(rates: ErrorRates): Boolean {
        val expected = samples.sumOf { it.expectedLogRatio(increase, it.rate) }
        val deviation = sqrt(samples.sumOf { it.logRatioVariance(increase, it.rate) })
        return expected + rates.goodDeviations * deviation <= limit(rates)
    }

    private fun limit(rates: ErrorRates): Double {
        val expected = samples.sumOf { it.expectedLogRatio(increase, it.increased(increase)) }
        val deviation = sqrt(samples.sumOf { it.logRatioVariance(increase, it.increased(increase)) })
        return expected - rates.badDeviations * deviation
    }
}

private const val CUBIC = 0.07056
private const val LINEAR = 1.5976
private const val BISECTIONS = 30
private const val LARGEST_DEVIATIONS = 8.0

/** Returns by how many standard deviations a normal variable exceeds its mean with [probability], to two digits. */
private fun normalDeviations(probability: Double): Double {
    var low = 0.0
    var high = LARGEST_DEVIATIONS
    repeat(BISECTIONS) {
        val middle = (low + high) / 2
        val tail = 1 / (1 + exp(LINEAR * middle + CUBIC * middle * middle * middle))
        if (tail > probability) low = middle else high = middle
    }
    return low
}
