package corneltrack.policy.rollout

import kotlin.math.ln

/** The rates of bad responses, beyond the baseline's, that a good verdict excludes on all routes together. */
private const val EXCLUDED_FAILURES = 0.05
private const val EXCLUDED_SLOW = 0.2

/** The rate that it excludes on each route, on responses after half of the duration, and where evidence is scarce. */
private const val EXCLUDED_ROUTE_FAILURES = 0.2
private const val STAKE = 0.8

/** The responses on one route that exclude a slow version; eight suffice if times vary little. */
private const val ENOUGH_TIMES = 20

/**
 * Returns whether the evidence excludes a bad version at the error rates of [bounds].
 *
 * Asked at the time to decide, so that the number of responses does not depend on their outcomes: tests of a fixed
 * number need fewer responses than sequential ones.
 *
 * @param routes the comparisons of each route by the slice in which they begin.
 */
internal fun isGood(routes: Collection<List<Comparison>>, bounds: RolloutBounds): Boolean {
    val whole = routes.map { it.first() }
    val rates = ErrorRates(bounds.badJudgedGood, bounds.goodJudgedBad)
    return if (failures(whole, EXCLUDED_FAILURES).decides(rates)) {
        isGoodOnEachRoute(whole, rates) &&
            excludesWhereDecides(failures(routes.map { it[SLICE_AFTER_HALF] }, EXCLUDED_ROUTE_FAILURES), rates) &&
            slowTests(whole).all { excludesWhereDecides(it, rates) }
    } else {
        isGoodOnScarceEvidence(whole, ErrorRates(bounds.scarceBadJudgedGood, bounds.goodJudgedBad))
    }
}

private fun isGoodOnEachRoute(routes: List<Comparison>, rates: ErrorRates): Boolean =
    failures(routes, EXCLUDED_FAILURES).excludes(rates) &&
        paceExcluded(routes, rates) &&
        routes.all {
            excludesWhereDecides(failures(listOf(it), EXCLUDED_ROUTE_FAILURES), rates) &&
                (it.target.firstEvents.sum() < ENOUGH_TIMES || paceExcluded(listOf(it), rates))
        }

/**
 * Excludes a grossly bad version, and asks for a result like that of a good version where 5 of 100 failing cannot be
 * excluded: completing a bad version breaks all callers, and rolling back a good one costs its operator another order.
 */
private fun isGoodOnScarceEvidence(routes: List<Comparison>, rates: ErrorRates): Boolean =
    failures(routes, EXCLUDED_ROUTE_FAILURES).excludes(rates) &&
        failures(routes, EXCLUDED_FAILURES).resemblesGood &&
        paceExcluded(routes, rates)

/** A part of the evidence that is too small to exclude anything must at least not speak against the version. */
private fun excludesWhereDecides(test: FixedTest, rates: ErrorRates): Boolean =
    if (test.decides(rates)) test.excludes(rates) else test.favoursGood

private fun failures(routes: List<Comparison>, increase: Double) = FixedTest(routes.map { it.failures }, increase)

private fun slowTests(routes: List<Comparison>): List<FixedTest> = listOf(
    FixedTest(routes.map { it.slowFirstEvents }, EXCLUDED_SLOW),
    FixedTest(routes.map { it.slowPauses }, EXCLUDED_SLOW),
)

/**
 * Excludes that the version is 2.5 times as slow as the baseline, in first events and, where the baseline has them, in
 * pauses. Responses without a time to the first event exclude nothing.
 */
private fun paceExcluded(routes: List<Comparison>, rates: ErrorRates): Boolean {
    val threshold = -ln(rates.badJudgedGood)
    val firstEvents = routes.sumOf { paceLogRatio(it.target.firstEvents, it.baseline.firstEvents, STAKE) }
    val pauses = routes.sumOf { paceLogRatio(it.target.pauses, it.baseline.pauses, STAKE) }
    return firstEvents >= threshold &&
        (pauses >= threshold || routes.all { it.baseline.pauses.sum() == 0 })
}
