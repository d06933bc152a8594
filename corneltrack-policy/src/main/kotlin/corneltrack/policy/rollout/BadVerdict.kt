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

/** The times of the baseline that give ranks a meaning. */
private const val MINIMUM_BASELINE_TIMES = 20

/** Keeps a likelihood ratio finite. */
private const val LARGEST_LOG_RATIO = 100.0

/**
 * A way in which a version may be bad.
 *
 * @property tests the tests of a comparison, the first argument, as logarithms of likelihood ratios. The second one is
 *   the comparison from the start: the baseline's rate is at least the one since then. After the shift, the baseline's
 *   last responses are few, and its failures, which end early, are missing among them.
 */
private class Symptom(val reason: BadReason, val tests: (Comparison, Comparison) -> DoubleArray)

private val SYMPTOMS = listOf(
    Symptom(BadReason.FAILURES) { since, whole -> failureTests(since.failures, whole.failures) },
    Symptom(BadReason.SLOW_FIRST_EVENTS) { since, whole ->
        slowTests(since.slowFirstEvents, whole.slowFirstEvents) {
            slownessLogRatio(since.target.firstEvents, since.baseline.firstEvents, it)
        }
    },
    Symptom(BadReason.SLOW_PAUSES) { since, whole ->
        slowTests(since.slowPauses, whole.slowPauses) {
            slownessLogRatio(since.target.pauses, since.baseline.pauses, it)
        }
    },
)

/** Returns the bad responses of the target beyond those that the baseline explains on its [routes]. */
internal fun excessBadResponses(routes: List<Comparison>): Double =
    excess(routes.map { it.failures }, Sample::toleratedFailures) +
        maxOf(
            excess(routes.map { it.slowFirstEvents }, Sample::toleratedSlow),
            excess(routes.map { it.slowPauses }, Sample::toleratedSlow),
        )

private fun excess(samples: List<Sample>, tolerated: (Sample) -> Double): Double {
    val expected = samples.sumOf { it.responses * tolerated(it) }
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
        val byRoute = routes.mapValues { (_, since) -> since.map { symptom.tests(it, since.first()) } }
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

private fun failureTests(since: Sample, whole: Sample): DoubleArray {
    val nullRate = maxOf(since.toleratedFailures(), whole.toleratedFailures())
    return DoubleArray(FAILURE_INCREASES.size) { since.logRatio(nullRate, FAILURE_INCREASES[it]) }
}

private fun slowTests(since: Sample, whole: Sample, rankTest: (Double) -> Double): DoubleArray {
    if (since.responses == 0 || since.baselineResponses < MINIMUM_BASELINE_TIMES) {
        return DoubleArray(SLOW_INCREASES.size + STAKES.size)
    }
    val nullRate = maxOf(since.toleratedSlow(), whole.toleratedSlow())
    return DoubleArray(SLOW_INCREASES.size + STAKES.size) {
        val stake = it - SLOW_INCREASES.size
        if (stake < 0) since.logRatio(nullRate, SLOW_INCREASES[it]) else rankTest(STAKES[stake])
    }
}

private fun Sample.toleratedFailures(): Double = minOf(HALF, rate + rateError + TOLERATED_FAILURES)

private fun Sample.toleratedSlow(): Double =
    minOf(HALF, TOLERATED_SLOW_FACTOR * rate + rateError + TOLERATED_SLOW)
