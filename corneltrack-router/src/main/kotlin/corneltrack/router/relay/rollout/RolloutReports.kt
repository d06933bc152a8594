package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.EvidenceSnapshot
import corneltrack.policy.rollout.RolloutPhase
import corneltrack.policy.rollout.ShiftReport
import corneltrack.policy.rollout.Verdict
import corneltrack.router.relay.PeerContact
import corneltrack.router.relay.PeerDigest
import corneltrack.router.relay.PeerLink
import corneltrack.router.relay.RolloutDigest
import corneltrack.wire.wireProtobuf
import corneltrack.world.InstanceId
import corneltrack.world.PoolId
import kotlinx.serialization.encodeToByteArray

/** Half of what a datagram may hold. */
private const val MAXIMUM_DIGEST_BYTES = 8_192

/** The interval at which the decider tells all peers that it lives, in ms. */
private const val DECIDER_INTERVAL_MS = 500L

/** The copies of a bad verdict; make up for lost datagrams. */
private const val BAD_VERDICT_COPIES = 3

/** Stands for the phase of a router that knows no status of the order: it sends to the baseline. */
private val NO_PHASE = RolloutPhase.TRIAL

/** Exchanges the reports of open roll-outs with the peers. Only used on the event loop. */
internal class RolloutReports(private val id: InstanceId, private val link: () -> PeerLink) {
    private data class Reporter(val pool: PoolId, val peer: InstanceId)

    /** What all peers were told last about a pool. */
    private data class Told(val atMs: Long, val urgentResponses: Int, val bad: Boolean, val baselineClosed: Boolean)

    private val received = HashMap<Reporter, RolloutDigest>()
    private val told = HashMap<PoolId, Told>()
    private var number = 0L

    /** Records the report of [peer]. */
    fun onDigest(peer: InstanceId, digest: RolloutDigest) {
        received[Reporter(digest.pool, peer)] = digest
    }

    /** Returns what this router and each of its [contacts] report about the shift of [rollout]. */
    fun shifts(rollout: PoolRollout, contacts: List<PeerContact>): List<ShiftReport> {
        val phase = rollout.reportedPhase
        val own = rollout.trial?.let { ShiftReport(it.order.orderId, phase ?: NO_PHASE, rollout.oldRequests, 0) }
        return listOfNotNull(own) + contacts.map { contact ->
            val report = received[Reporter(rollout.pool, contact.id)]
            ShiftReport(report?.orderId ?: -1, report?.phase ?: NO_PHASE, report?.oldRequests ?: 0, contact.silentMs)
        }
    }

    /** Sends the report on [rollout]: to all peers if it is urgent or this router is the [decider], else to some. */
    fun send(rollout: PoolRollout, decider: Boolean, nowMs: Long) {
        val trial = rollout.trial ?: return
        val last = told[rollout.pool]
        val next = Told(nowMs, trial.urgentResponses, trial.bad, rollout.baselineClosed)
        val news = last == null || last.copy(atMs = nowMs) != next
        val due = decider && (last == null || nowMs - last.atMs >= DECIDER_INTERVAL_MS)
        val copies = if (trial.bad && last?.bad != true) BAD_VERDICT_COPIES else 1
        val digests = rollout.digests(trial)
        if (news || due) {
            told[rollout.pool] = next
            repeat(copies) { digests.forEach { link().sendToAll(it) } }
        } else {
            digests.forEach { link().sendToDue(it, number) }
        }
    }

    /** Begins the next round of reports. */
    fun nextRound() {
        number++
    }

    private fun PoolRollout.digests(trial: OrderTrial): List<PeerDigest> {
        val reason = (trial.verdict as? Verdict.Bad)?.reason
        val report = RolloutDigest(pool, trial.order.orderId, reportedPhase, oldRequests, reason)
        val parts = trial.evidence?.snapshot()?.let(::parts) ?: listOf(null)
        return parts.map { PeerDigest(id.value, rollouts = listOf(report.copy(evidence = it))) }
    }

    /** Splits the counters by route, so that each part fits a datagram. */
    private fun parts(evidence: EvidenceSnapshot): List<EvidenceSnapshot> {
        val routes = evidence.routes
        val fits = routes.size < 2 || wireProtobuf.encodeToByteArray(evidence).size <= MAXIMUM_DIGEST_BYTES
        if (fits) return listOf(evidence)
        return routes.chunked((routes.size + 1) / 2).flatMap { parts(evidence.copy(routes = it)) }
    }
}
