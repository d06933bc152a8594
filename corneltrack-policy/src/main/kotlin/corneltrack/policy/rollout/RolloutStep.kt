package corneltrack.policy.rollout

import corneltrack.world.InstanceId

/** What a router does about a roll-out. */
public sealed interface RolloutStep {
    /** Nothing for now. */
    public data object Wait : RolloutStep

    /** Appends [status] on the condition that the topic ends where this router has read to, and decides again. */
    public data class Write(val status: RolloutStatus) : RolloutStep
}

/**
 * What a peer, or the router itself, says about the shift of an order.
 *
 * @property orderId the order that it knows last.
 * @property phase the phase of it that it knows; [RolloutPhase.ROLLED_BACK] once it has stopped by a verdict, since it
 *   then sends to the other versions again.
 * @property oldRequests the attempts that it has in flight at endpoints of other versions than the target.
 * @property silentMs the time since the report, in ms; 0 for the router itself.
 */
public data class ShiftReport(val orderId: Long, val phase: RolloutPhase, val oldRequests: Int, val silentMs: Long)

/**
 * What a router knows about the roll-out of one pool.
 *
 * @property instance the router.
 * @property rank the number of live routers that precede it; the router of rank 0 is the decider.
 * @property order the newest valid order of the pool; null if there is none or it was removed.
 * @property orderSeenMs when this router first read [order], in ms since the epoch.
 * @property status the newest status of the pool in the store; null if there is none.
 * @property baseline the version in force before [order] ([baselineOf]).
 * @property targetEndpoints the number of ready endpoints of the target version; null while it is not known.
 * @property verdict what [judge] says about [order].
 * @property badSinceMs when [verdict] became [Verdict.Bad] or [order] was found removed, by the clock of the decision.
 * @property shifts the reports of this router and of every known peer.
 * @property schedule when the order is to shift and to end.
 */
public data class RolloutView(
    val instance: InstanceId,
    val rank: Int,
    val order: RolloutOrder?,
    val orderSeenMs: Long,
    val status: RolloutStatus?,
    val baseline: String,
    val targetEndpoints: Int?,
    val verdict: Verdict,
    val badSinceMs: Long?,
    val shifts: List<ShiftReport>,
    val schedule: RolloutSchedule,
)

/**
 * The times of a roll-out.
 *
 * @property drainMs the time by which 999 of 1,000 running responses of the pool have ended, in ms.
 * @property longestResponseMs the longest route timeout of the pool, in ms; a peer that is silent for longer has
 *   nothing in flight.
 */
public data class RolloutSchedule(val drainMs: Long, val longestResponseMs: Long) {
    /**
     * Returns the time between the order and the shift, in ms.
     *
     * As late as completion by the deadline allows, since evidence grows; not before 0.6 of the duration, since a
     * version may turn bad after half of it.
     */
    public fun shiftAfterMs(durationMs: Long): Long =
        maxOf((EARLIEST_SHIFT * durationMs).toLong(), durationMs - drainMs - SHIFT_MARGIN_MS)

    /**
     * Returns the time between the order and the rollback of a version that is still undecided, in ms.
     *
     * It is the deadline, unless the order is shorter than a response, so that none might be known by then.
     */
    public fun trialEndAfterMs(durationMs: Long): Long =
        if (durationMs < drainMs) TRIAL_DRAINS * drainMs else durationMs

    /** Returns whether the time to decide has come, which [judge] takes as its last call. */
    public fun lastCall(startedMs: Long, durationMs: Long, nowMs: Long): Boolean =
        nowMs >= startedMs + shiftAfterMs(durationMs)
}

private const val EARLIEST_SHIFT = 0.6

/** The trial of an order that is shorter than a response lasts as long as this many responses. */
private const val TRIAL_DRAINS = 3

/** The time for two writes to the store, their way to all routers, and the takeover of a dead decider, in ms. */
private const val SHIFT_MARGIN_MS = 2_000L
