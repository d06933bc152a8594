package corneltrack.policy.rollout

/** What the evidence says about the target version of an order. */
public sealed interface Verdict {
    /** The evidence does not suffice. */
    public data object Undecided : Verdict

    /** The target version is as good as the baseline, as far as the error rates of [RolloutBounds] go. */
    public data object Good : Verdict

    /** The target version is worse than the baseline; to be kept by the caller, whatever evidence follows. */
    public data class Bad(val reason: BadReason, val route: String? = null) : Verdict
}

/** Why a version is bad. */
public enum class BadReason(public val text: String) {
    FAILURES("failures"),
    SLOW_FIRST_EVENTS("slow_first_events"),
    SLOW_PAUSES("slow_pauses"),

    /** [RolloutBounds.stopAtBadResponses] was reached, whatever the tests say. */
    BAD_RESPONSES("bad_responses"),
}

/**
 * The error rates and limits of a verdict.
 *
 * @property badJudgedGood the largest probability of judging a version good of which 5 of 100 responses fail, or 20 of
 *   100 on one route, or that is 2.5 times as slow, where the pool has enough requests to tell.
 * @property scarceBadJudgedGood the largest probability of judging a version good of which 20 of 100 responses fail,
 *   where the pool has not enough requests for [badJudgedGood].
 * @property goodJudgedBad the largest probability of judging a good version bad.
 * @property stopAtBadResponses the bad responses beyond what the baseline explains at which a version is bad.
 */
public data class RolloutBounds(
    val badJudgedGood: Double = 0.001,
    val scarceBadJudgedGood: Double = 0.05,
    val goodJudgedBad: Double = 0.005,
    val stopAtBadResponses: Int = 25,
)

/**
 * Judges the target version of an order; may be called after each response.
 *
 * @param lastCall whether the time to decide has come ([RolloutSchedule.lastCall]); no version is judged good before.
 */
public fun judge(evidence: RolloutEvidence, bounds: RolloutBounds, lastCall: Boolean): Verdict {
    val routes = evidence.routes.mapValues { (_, counters) -> counters.comparisons() }
    val whole = routes.values.map { it.first() }
    return if (routes.isEmpty()) {
        Verdict.Undecided
    } else {
        badVerdict(routes, bounds)
            ?: Verdict.Bad(BadReason.BAD_RESPONSES).takeIf { excessBadResponses(whole) >= bounds.stopAtBadResponses }
            ?: Verdict.Good.takeIf { lastCall && isGood(routes.values, bounds) }
            ?: Verdict.Undecided
    }
}
