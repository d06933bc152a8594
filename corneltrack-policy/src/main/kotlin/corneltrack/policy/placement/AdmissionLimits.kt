package corneltrack.policy.placement

/** The part of the objective that a workspace below its share may be expected to wait, and one at its share. */
private const val MAXIMUM_WAIT_FRACTION = 0.85
private const val MINIMUM_WAIT_FRACTION = 0.5

/** The standings between which the limit falls from one to the other. */
private const val REDUCTION_START_RATIO = 0.7
private const val REDUCTION_END_RATIO = 1.0

/** The standings between which what an engine would read again weighs from nearly nothing to its full weight. */
private const val MISS_WEIGHT_START_RATIO = 0.3
private const val MISS_WEIGHT_END_RATIO = 0.6
private const val MINIMUM_MISS_WEIGHT = 0.1

/** What a request past its objective may still be expected to wait, as a part of the objective. */
private const val LATE_WAIT_FRACTION = 0.2

/** The part of the limit that the wait before a prompt too long for the objective may take. */
private const val QUEUE_WAIT_FRACTION = 0.35

/**
 * Holds how long a request may be expected to wait for its first event and still be sent.
 *
 * @property waitLimitMs bounds the wait with the reading of its own prompt.
 * @property queueLimitMs bounds the wait before its own prompt is read, for prompts that cannot start within [waitLimitMs].
 * @property missWeight how much of its weight counts what an engine would read again: 1 for all.
 */
public data class AdmissionLimits(val waitLimitMs: Double, val queueLimitMs: Double, val missWeight: Double)

/**
 * Returns the limits for a request whose objective is [objectiveMs] and whose caller began to wait [elapsedMs] ago.
 *
 * Answers lasting overload: workspaces with more than their share are refused at a shorter queue than others, so that
 * the queue hovers where only they are refused. Requests that come back past their objective yield to those that can
 * still be answered in time. A workspace far below its share, whose beginnings meet at busy engines, may go to others
 * that have to read them again.
 *
 * @param fairShareRatio what the workspace was granted as a multiple of its share.
 */
public fun admissionLimits(objectiveMs: Long, elapsedMs: Long, fairShareRatio: Double): AdmissionLimits {
    val reduction = ((fairShareRatio - REDUCTION_START_RATIO) / (REDUCTION_END_RATIO - REDUCTION_START_RATIO)).coerceIn(0.0, 1.0)
    val waitFraction = MAXIMUM_WAIT_FRACTION - reduction * (MAXIMUM_WAIT_FRACTION - MINIMUM_WAIT_FRACTION)
    val timeLeftMs = (objectiveMs - elapsedMs).toDouble()
    val waitLimitMs = maxOf(timeLeftMs * waitFraction, objectiveMs * LATE_WAIT_FRACTION)
    val missWeight = (fairShareRatio - MISS_WEIGHT_START_RATIO) / (MISS_WEIGHT_END_RATIO - MISS_WEIGHT_START_RATIO)
    return AdmissionLimits(waitLimitMs, waitLimitMs * QUEUE_WAIT_FRACTION, missWeight.coerceIn(MINIMUM_MISS_WEIGHT, 1.0))
}
