package corneltrack.policy.rollout

import kotlin.math.exp
import kotlin.math.sqrt

/** Half of the weight of the tests goes to those of all routes together, half to those of each route. */
private const val HALF = 0.5

/** The rates of bad responses, beyond the baseline's, that the tests are made for. */
private const val FEW_FAILURES = 0.05
private const val SOME_FAILURES = 0.2
private const val MANY_FAILURES = 0.5
private val FAILURE_INCREASES = doubleArrayOf(FEW_FAILURES, SOME_FAILURES, MANY_FAILURES)
private const val FEW_SLOW = 0.1
private const val SOME_SLOW = 0.3
private const val MANY_SLOW = 0.6
private val SLOW_INCREASES = doubleArrayOf(FEW_SLOW, SOME_SLOW, MANY_SLOW)

/** The fractions that the rank tests bet on each response: small ones find small differences, large ones find fast. */
private const val SMALL_STAKE = 0.3
private const val LARGE_STAKE = 0.7
private val STAKES = doubleArrayOf(SMALL_STAKE, LARGE_STAKE)

/** Half a failure in a hundred more than the baseline does not make a version bad. */
private const val TOLERATED_FAILURES = 0.005

/** A version in its first seconds, on few endpoints, has somewhat more slow responses although it is good. */
private const val TOLERATED_SLOW = 0.03
private const val TOLERATED_SLOW_FACTOR = 1.5

/** The standard deviations by which chance may exceed the baseline's expected bad responses. */
private const val CHANCE_DEVIATIONS = 3.0

/** Keeps a likelihood ratio finite. */
private const val LARGEST_LOG_RATIO = 100.0

/** A way in which a version may be bad, and its tests of one comparison as logarithms of likelihood ratios. */
private class Symptom(val reason: BadReason, val tests: (Comparison) -> DoubleArray)

private val SYMPTOMS = listOf(
    Symptom(BadReason.FAILURES) { failureTests(it.failures) },
    Symptom(BadReason.SLOW_FIRST_EVENTS) {
        slowTests(it.slowFirstEvents, it.target.firstEvents, it.baseline.firstEvents)
    },
    Symptom(BadReason.SLOW_PAUSES) { slowTests(it.slowPauses, it.target.pauses, it.baseline.pauses) },
)

/** Returns the bad responses of the target beyond those that the baseline explains on its [routes]. */
internal fun excessBadResponses(routes: List<Comparison>): Double =
    excess(routes.map { it.failures }) +
        maxOf(excess(routes.map { it.slowFirstEvents }), excess(routes.map { it.slowPauses }))

private fun excess(samples: List<Sample>): Double {
    val expected = samples.sumOf { it.responses * (it.rate + it.rateError) }
    return maxOf(0.0, samples.sumOf { it.bad } - expected - CHANCE_DEVIATIONS * sqrt(expected))
}

/**
 * Returns a verdict if the evidence against the target exceeds what [RolloutBounds.goodJudgedBad] allows.
 *
 * The weighted mean of the likelihood ratios of all tests of a symptom exceeds 1 / p at any time with a probability of
 * at most p if the version is good (Ville's inequality), and each symptom gets an equal part of the allowed errors.
 */
internal fun badVerdict(routes: Map<String, List<Comparison>>, bounds: RolloutBounds): Verdict? {
    val threshold = SYMPTOMS.size / bounds.goodJudgedBad
    return SYMPTOMS.firstNotNullOfOrNull { symptom ->
        val byRoute = routes.mapValues { (_, comparisons) -> comparisons.map(symptom.tests) }
        val together = likelihoodRatio(sum(byRoute.values))
        val worst = byRoute.mapValues { likelihoodRatio(it.value) }
        if (HALF * (together + worst.values.average()) < threshold) {
            null
        } else {
            Verdict.Bad(symptom.reason, worst.maxByOrNull { it.value }?.key)
        }
    }
}

private fun sum(routes: Collection<List<DoubleArray>>): List<DoubleArray> = routes.reduce { one, other ->
    one.zip(other) { first, second -> DoubleArray(first.size) { first[it] + second[it] } }
}

private fun likelihoodRatio(slices: List<DoubleArray>): Double =
    slices.sumOf { tests -> tests.sumOf { exp(minOf(it, LARGEST_LOG_RATIO)) } } / slices.sumOf { it.size }

private fun failureTests(sample: Sample): DoubleArray = DoubleArray(FAILURE_INCREASES.size) {
    sample.logRatio(sample.rate + sample.rateError + TOLERATED_FAILURES, FAILURE_INCREASES[it])
}

private fun slowTests(sample: Sample, target: IntArray, baseline: IntArray): DoubleArray {
    if (sample.responses == 0 || sample.baselineResponses == 0) return DoubleArray(SLOW_INCREASES.size + STAKES.size)
    val nullRate = TOLERATED_SLOW_FACTOR * sample.rate + sample.rateError + TOLERATED_SLOW
    return DoubleArray(SLOW_INCREASES.size + STAKES.size) {
        if (it < SLOW_INCREASES.size) {
            sample.logRatio(minOf(HALF, nullRate), SLOW_INCREASES[it])
        } else {
            slownessLogRatio(target, baseline, STAKES[it - SLOW_INCREASES.size])
        }
    }
}
