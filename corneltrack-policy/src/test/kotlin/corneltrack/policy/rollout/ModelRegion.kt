package corneltrack.policy.rollout

import corneltrack.world.InstanceId

/**
 * What the routers of one region know of the others. The model lets them share it: digests reach them at about the same
 * time. A router's own responses come in with its digest, later than in a real router.
 */
internal class ModelRegion(val index: Int, order: RolloutOrder, routers: Int) {
    val evidence = RolloutEvidence(order, InstanceId("region-$index"), 0, 0)
    val shifts = Array(routers) { ShiftReport(0, RolloutPhase.TRIAL, 0, 0) }
    val heardAtMs = LongArray(routers)
    var status: RolloutStatus? = null
    var statusEnd = 0L
    var bad: Verdict.Bad? = null
    var badSinceMs: Long? = null
    var verdict: Verdict = Verdict.Undecided
    var writeInFlight = false

    /** Whether the region knows of no end of the order; evidence matters no more after it. */
    val open get() = status?.phase?.ended != true
    var changed = true

    fun stop(verdict: Verdict.Bad, nowMs: Long) {
        if (bad != null) return
        bad = verdict
        badSinceMs = nowMs
    }

    /** Judges once for each round of digests, less often than a real router, which also does so at each response. */
    fun judge(lastCall: Boolean, nowMs: Long): Verdict {
        if (bad == null && (changed || lastCall)) {
            verdict = judge(evidence, RolloutBounds(), lastCall)
            changed = false
            (verdict as? Verdict.Bad)?.let { stop(it, nowMs) }
        }
        return bad ?: verdict
    }
}

/** One router of the model. */
internal class ModelRouter(val index: Int, val region: ModelRegion, order: RolloutOrder, firstCredit: Double) {
    val own = RolloutEvidence(order, InstanceId("router-$index"), index.toLong(), 0)
    val share = TrialShare(firstCredit = firstCredit)
    var alive = true
    var oldInFlight = 0

    fun reported(): ShiftReport {
        val known = region.status?.phase ?: RolloutPhase.TRIAL
        val phase = if (region.bad == null) known else RolloutPhase.ROLLED_BACK
        return ShiftReport(region.status?.orderId ?: 0, phase, oldInFlight, 0)
    }
}
