package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.RolloutOrder
import corneltrack.policy.rollout.RolloutStatus
import corneltrack.policy.rollout.SliceEvidence
import corneltrack.policy.rollout.Verdict
import corneltrack.router.relay.ConditionalWrite
import corneltrack.wire.LogEvent
import corneltrack.wire.event
import corneltrack.world.PoolId
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

private val logger = LogManager.getLogger("corneltrack.router.relay.rollout.RolloutLog")

/** Logs one line for each event of a roll-out. */
internal class RolloutLog {
    /** Logs an order, or why the record of [pool] is none. */
    fun order(pool: PoolId, order: RolloutOrder?, result: String) = logger.event("rollout_order") {
        field("pool", pool)
        field("order", order?.orderId)
        field("target", order?.target)
        field("duration_ms", order?.durationMs)
        field("result", result)
    }

    /** Logs a status that was read, and its age by the wall clock. */
    fun phase(pool: PoolId, status: RolloutStatus?, ageMs: Long?) = logger.event("rollout_phase") {
        field("pool", pool)
        field("order", status?.orderId)
        field("target", status?.target)
        field("baseline", status?.baseline)
        field("phase", status?.phase?.name?.lowercase())
        field("decided_by", status?.decidedBy)
        field("since_order_ms", ageMs)
    }

    /** Logs a status that cannot be decoded, which changes nothing. */
    fun statusUnreadable(pool: PoolId) = logger.event("rollout_status_unreadable", Level.WARN) { field("pool", pool) }

    /** Logs a verdict and the evidence behind it; [source] is this router or the peer that reached it. */
    fun verdict(rollout: PoolRollout, source: String, unheardMs: Long) = logger.event("rollout_verdict") {
        val trial = rollout.trial
        val verdict = trial?.verdict
        field("pool", rollout.pool)
        field("order", trial?.order?.orderId)
        field("verdict", verdict?.let(::verdictName))
        field("reason", (verdict as? Verdict.Bad)?.reason?.text)
        field("route", (verdict as? Verdict.Bad)?.route)
        field("source", source)
        evidenceFields(trial)
        field("unheard_ms", unheardMs)
    }

    /** Logs that this router stops or resumes its part of a trial. */
    fun stopped(rollout: PoolRollout, reason: String, unheardMs: Long) = logger.event("rollout_stopped") {
        field("pool", rollout.pool)
        field("order", rollout.order?.orderId)
        field("target", rollout.order?.target)
        field("reason", reason)
        evidenceFields(rollout.trial)
        field("unheard_ms", unheardMs)
    }

    /** Logs what came of a conditional write. */
    fun written(pool: PoolId, status: RolloutStatus, result: ConditionalWrite) = logger.event("rollout_written") {
        field("pool", pool)
        field("order", status.orderId)
        field("phase", status.phase.name.lowercase())
        field("result", result)
    }

    private fun LogEvent.evidenceFields(trial: OrderTrial?) {
        val own = trial?.evidence?.snapshot()?.routes.orEmpty()
        val target = own.flatMap { it.target }
        val baseline = own.flatMap { it.baseline }
        field("requests", trial?.share?.requests)
        field("trial_requests", trial?.share?.taken)
        field("target_responses", target.sumOf(SliceEvidence::responses))
        field("target_failures", target.sumOf(SliceEvidence::failures))
        field("baseline_responses", baseline.sumOf(SliceEvidence::responses))
        field("baseline_failures", baseline.sumOf(SliceEvidence::failures))
    }
}

private fun verdictName(verdict: Verdict) = when (verdict) {
    Verdict.Undecided -> "undecided"
    Verdict.Good -> "good"
    is Verdict.Bad -> "bad"
}
