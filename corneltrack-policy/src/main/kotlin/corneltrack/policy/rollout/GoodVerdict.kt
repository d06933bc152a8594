package corneltrack.policy.rollout

import kotlin.math.ln

/** The rates of bad responses, beyond the baseline's, that a good verdict excludes on all routes together. */
private const val EXCLUDED_FAILURES = 0.05
private const val EXCLUDED_SLOW = 0.2

/** The rate that it excludes on each route, on responses after half of the duration, and where evidence is scarce. */
private const val EXCLUDED_ROUTE_FAILURES = 0.2

/** Evidence is scarce if a good version is to be expected to exceed the threshold by less than this factor. */
private const val SCARCE_FACTOR = 1.5
private const val STAKE = 0.8

/** The responses on one route that exclude a slow version; eight suffice if times vary little. */
private const val ENOUGH_TIMES = 20

/**
 * Returns whether the evidence excludes a bad version at the error rate of [bounds].
 *
 * @param routes the comparisons of each route by the slice in which they begin.
 */
internal fun isGood(routes: Collection<List<Comparison>>, bounds: RolloutBounds, lastCall: Boolean): Boolean {
    val whole = routes.map { it.first() }
    val recent = routes.map { it[SLICE_AFTER_HALF] }
    val threshold = -ln(bounds.badJudgedGood)
    val scarce = -expected(whole, EXCLUDED_FAILURES) < SCARCE_FACTOR * threshold
    return if (scarce) {
        lastCall && isGoodOnScarceEvidence(whole, -ln(bounds.scarceBadJudgedGood))
    } else {
        excludes(whole, EXCLUDED_FAILURES, threshold) &&
            (!lastCall || excludesWhereEnough(recent, threshold)) &&
            slowExcluded(whole, threshold) &&
            whole.all { excludesWhereEnough(listOf(it), threshold) && paceExcludedWhereEnough(it, threshold) }
    }
}

/** The version may not look more like one with 5 of 100 failing than like a good one, and is not grossly bad. */
private fun isGoodOnScarceEvidence(routes: List<Comparison>, threshold: Double): Boolean =
    excludes(routes, EXCLUDED_ROUTE_FAILURES, threshold) &&
        excludes(routes, EXCLUDED_FAILURES, 0.0) &&
        paceExcluded(routes, threshold)

private fun excludes(routes: List<Comparison>, increase: Double, threshold: Double): Boolean =
    routes.sumOf { it.failures.logRatio(it.failures.rate, increase) } <= -threshold

/** A part of the evidence that is too small to exclude anything must at least not speak against the version. */
private fun excludesWhereEnough(routes: List<Comparison>, threshold: Double): Boolean {
    val enough = -expected(routes, EXCLUDED_ROUTE_FAILURES) >= SCARCE_FACTOR * threshold
    return excludes(routes, EXCLUDED_ROUTE_FAILURES, if (enough) threshold else 0.0)
}

private fun expected(routes: List<Comparison>, increase: Double): Double =
    routes.sumOf { it.failures.expectedLogRatio(increase) }

private fun slowExcluded(routes: List<Comparison>, threshold: Double): Boolean =
    listOf(routes.map { it.slowFirstEvents }, routes.map { it.slowPauses }).all { samples ->
        samples.all { it.baselineResponses == 0 } ||
            samples.sumOf { it.logRatio(it.rate, EXCLUDED_SLOW) } <= -threshold
    }

private fun paceExcludedWhereEnough(route: Comparison, threshold: Double): Boolean =
    route.target.firstEvents.sum() < ENOUGH_TIMES || paceExcluded(listOf(route), threshold)

/** Excludes that the version is 2.5 times as slow as the baseline, in first events and in pauses where it has them. */
private fun paceExcluded(routes: List<Comparison>, threshold: Double): Boolean {
    val firstEvents = routes.sumOf { paceLogRatio(it.target.firstEvents, it.baseline.firstEvents, STAKE) }
    val pauses = routes.sumOf { paceLogRatio(it.target.pauses, it.baseline.pauses, STAKE) }
    return (firstEvents >= threshold || routes.all { it.baseline.firstEvents.sum() == 0 }) &&
        (pauses >= threshold || routes.all { it.baseline.pauses.sum() == 0 })
}
