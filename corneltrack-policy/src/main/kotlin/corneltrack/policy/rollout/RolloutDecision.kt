package corneltrack.policy.rollout

/** The time after which the next router by rank writes a rollback that those before it have not, in ms. */
private const val ROLLBACK_STAGGER_MS = 300L
private const val MAXIMUM_STAGGERED_RANK = 6

/**
 * Returns the next step of a roll-out.
 *
 * Only the router of rank 0 moves a roll-out forward. Each router writes a rollback, those after rank 0 with a delay,
 * since each call of the store is billed.
 *
 * @param nowMs the wall clock, in ms since the epoch.
 */
public fun decideRolloutStep(view: RolloutView, nowMs: Long): RolloutStep {
    val status = view.status
    val order = view.order
    return when {
        order == null -> rollBack(view, status, nowMs)
        status == null || status.orderId < order.orderId -> begin(view, order)
        status.orderId > order.orderId || status.phase.ended -> RolloutStep.Wait
        view.verdict is Verdict.Bad -> rollBack(view, status, nowMs)
        view.rank > 0 -> RolloutStep.Wait
        else -> advance(view, order, status, nowMs)
    }
}

private fun begin(view: RolloutView, order: RolloutOrder): RolloutStep {
    if (view.rank > 0) return RolloutStep.Wait
    val phase = if (order.target == view.baseline) RolloutPhase.COMPLETED else RolloutPhase.TRIAL
    return RolloutStep.Write(
        RolloutStatus(order.orderId, order.target, view.baseline, phase, view.orderSeenMs, view.instance.value),
    )
}

private fun advance(view: RolloutView, order: RolloutOrder, status: RolloutStatus, nowMs: Long): RolloutStep {
    val deadlineMs = status.startedWallClockMs + order.durationMs
    val shiftMs = status.startedWallClockMs + view.schedule.shiftAfterMs(order.durationMs)
    val trialEndMs = status.startedWallClockMs + view.schedule.trialEndAfterMs(order.durationMs)
    val shifting = status.phase == RolloutPhase.SHIFTING
    val next = when {
        view.targetEndpoints == null -> null
        view.targetEndpoints == 0 -> RolloutPhase.ROLLED_BACK.takeIf { shifting || nowMs >= deadlineMs }
        shifting -> RolloutPhase.COMPLETED.takeIf { view.shifted(order.orderId) }
        view.verdict == Verdict.Good -> RolloutPhase.SHIFTING.takeIf { nowMs >= shiftMs }
        else -> RolloutPhase.ROLLED_BACK.takeIf { nowMs >= trialEndMs }
    }
    return if (next == null) RolloutStep.Wait else view.write(status, next)
}

private fun rollBack(view: RolloutView, status: RolloutStatus?, nowMs: Long): RolloutStep {
    if (status == null || status.phase.ended) return RolloutStep.Wait
    val delayMs = ROLLBACK_STAGGER_MS * minOf(view.rank, MAXIMUM_STAGGERED_RANK)
    val due = view.rank == 0 || (view.badSinceMs != null && nowMs >= view.badSinceMs + delayMs)
    return if (due) view.write(status, RolloutPhase.ROLLED_BACK) else RolloutStep.Wait
}

private fun RolloutView.write(status: RolloutStatus, phase: RolloutPhase): RolloutStep =
    RolloutStep.Write(status.copy(phase = phase, decidedBy = instance.value))

private fun RolloutView.shifted(orderId: Long): Boolean = shifts.all {
    val reported = it.orderId == orderId && it.phase == RolloutPhase.SHIFTING && it.oldRequests == 0
    reported || it.silentMs > schedule.longestResponseMs
}
