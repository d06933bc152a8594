package corneltrack.policy.placement

/**
 * The fraction of the time left that a request may be expected to wait: the maximum applies to workspaces well below
 * their fair share, the minimum to those at or above it.
 */
private const val MAXIMUM_WAIT_FRACTION = 0.85
private const val MINIMUM_WAIT_FRACTION = 0.5

/** The fair-share ratios between which the wait fraction falls from its maximum to its minimum. */
private const val REDUCTION_START_RATIO = 0.7
private const val REDUCTION_END_RATIO = 1.0

/** What the wait fraction falls to while the ratio rises further, to [EXCESS_END_RATIO]. */
private const val EXCESS_WAIT_FRACTION = 0.25
private const val EXCESS_END_RATIO = 2.0

/** The fair-share ratios between which the weight of missed tokens rises from its minimum to 1. */
private const val MISS_WEIGHT_START_RATIO = 0.3
private const val MISS_WEIGHT_END_RATIO = 0.9
private const val MINIMUM_MISS_WEIGHT = 0.1

/**
 * The fraction of the objective that a request past its objective may still be expected to wait: the maximum applies to
 * workspaces well below their fair share, since those above it would take the place, the minimum to all others.
 */
private const val MAXIMUM_LATE_WAIT_FRACTION = 0.5
private const val MINIMUM_LATE_WAIT_FRACTION = 0.2

/** The fraction of the wait limit that the queueing delay of a prompt too long for the objective may take. */
private const val QUEUE_WAIT_FRACTION = 0.35

/**
 * Holds the limits of the expected wait for the first event above which a request is refused.
 *
 * @property waitLimitMs the maximum expected wait including the prefill of the request's own prompt, in ms.
 * @property queueLimitMs the maximum queueing delay before that prefill, in ms; it admits prompts whose prefill alone
 *   exceeds [waitLimitMs].
 * @property missWeight the weight, up to 1, at which the prefill of missed tokens counts against both limits.
 */
public data class AdmissionLimits(val waitLimitMs: Double, val queueLimitMs: Double, val missWeight: Double)

/**
 * Returns the limits for a request with an objective of [objectiveMs] whose caller has waited for [elapsedMs] so far.
 *
 * Keeps queues short and fair under lasting overload:
 * - Workspaces at or above their fair share are refused at a shorter queue than others, so that the queue settles at a
 *   length where only they are refused.
 * - Retried requests past their objective yield to those that can still be served in time, unless their workspace is
 *   below its fair share.
 * - A workspace far below its fair share whose preferred engines are busy may use other engines, although these have to
 *   prefill its shared prefix again.
 *
 * @param fairShareRatio the tokens granted to the workspace divided by its fair share.
 */
public fun admissionLimits(objectiveMs: Long, elapsedMs: Long, fairShareRatio: Double): AdmissionLimits {
    val reduction = ((fairShareRatio - REDUCTION_START_RATIO) / (REDUCTION_END_RATIO - REDUCTION_START_RATIO))
        .coerceIn(0.0, 1.0)
    val excess = ((fairShareRatio - REDUCTION_END_RATIO) / (EXCESS_END_RATIO - REDUCTION_END_RATIO)).coerceIn(0.0, 1.0)
    val waitFraction = MAXIMUM_WAIT_FRACTION - reduction * (MAXIMUM_WAIT_FRACTION - MINIMUM_WAIT_FRACTION) -
        excess * (MINIMUM_WAIT_FRACTION - EXCESS_WAIT_FRACTION)
    val timeLeftMs = (objectiveMs - elapsedMs).toDouble()
    val lateFraction =
        MAXIMUM_LATE_WAIT_FRACTION - reduction * (MAXIMUM_LATE_WAIT_FRACTION - MINIMUM_LATE_WAIT_FRACTION)
    val waitLimitMs = maxOf(timeLeftMs * waitFraction, objectiveMs * lateFraction)
    val missWeight = (fairShareRatio - MISS_WEIGHT_START_RATIO) / (MISS_WEIGHT_END_RATIO - MISS_WEIGHT_START_RATIO)
    return AdmissionLimits(
        waitLimitMs,
        waitLimitMs * QUEUE_WAIT_FRACTION,
        missWeight.coerceIn(MINIMUM_MISS_WEIGHT, 1.0),
    )
}
