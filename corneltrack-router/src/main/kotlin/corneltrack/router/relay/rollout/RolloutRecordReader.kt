package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.BadReason
import corneltrack.policy.rollout.RolloutEvidence
import corneltrack.policy.rollout.RolloutPhase
import corneltrack.policy.rollout.RolloutStatus
import corneltrack.policy.rollout.Verdict
import corneltrack.router.relay.KeyedRecord
import corneltrack.router.relay.RolloutDigest
import corneltrack.world.InstanceId
import corneltrack.world.PoolId

/** Takes in the orders, the statuses and the reports of peers. Only used on the event loop. */
internal class RolloutRecordReader(private val parts: RolloutParts) {
    /** Applies an operators' record: an order, or its removal. A record that is no order changes nothing. */
    fun onOrder(pool: PoolId, record: KeyedRecord) {
        val wallClockMs = parts.clock().wallClockMs
        val rollout = parts.of(pool)
        val value = record.value
        when (val decoded = value?.let { parts.records.decodeOrder(pool, it, record.position.offset) }) {
            null -> {
                parts.log.order(pool, rollout.order, "removed")
                rollout.onOrder(null, wallClockMs)
            }
            is RolloutOrderRecord.Invalid -> parts.log.order(pool, null, "invalid: ${decoded.reason}")
            is RolloutOrderRecord.Valid -> {
                val unknown = parts.routingState.table?.let { pool !in it.pools } ?: false
                parts.log.order(pool, decoded.order, if (unknown) "invalid: unknown pool" else "accepted")
                if (!unknown) {
                    rollout.onOrder(parts.newTrial(decoded.order, !parts.currency.orders.loaded), wallClockMs)
                    beginEvidence(rollout)
                }
            }
        }
    }

    /** Applies the record of a status if [record] is one; returns whether it is. */
    fun onRecord(record: KeyedRecord): Boolean {
        val pool = parts.records.statusPool(record.key) ?: return false
        val value = record.value
        val status = value?.let(parts.records.decodeStatus)
        when {
            value != null && status == null -> parts.log.statusUnreadable(pool)
            // The store came back from an older copy.
            status != null && parts.of(pool).status?.follows(status) == true -> Unit
            else -> onStatus(pool, status)
        }
        return true
    }

    /** Applies the newest [status] of [pool], or its removal. */
    fun onStatus(pool: PoolId, status: RolloutStatus?) {
        val rollout = parts.of(pool)
        if (status == rollout.status) return
        val now = parts.clock()
        rollout.onStatus(status, starting = !parts.currency.statuses.loaded, now.monotonicMs)
        parts.log.phase(pool, status, status?.let { now.wallClockMs - it.startedWallClockMs })
        status?.let { parts.metrics.onPhase(pool, it.target, it.phase) }
        beginEvidence(rollout)
    }

    /** Applies the reports of [peer]. */
    fun onDigests(peer: InstanceId, digests: List<RolloutDigest>) = digests.forEach { digest ->
        val rollout = parts.of(digest.pool)
        parts.reports.onDigest(peer, digest)
        val trial = rollout.trial?.takeIf { it.order.orderId == digest.orderId }
        if (trial != null) {
            digest.evidence?.let { trial.evidence?.merge(it) }
            val reason = digest.bad ?: BadReason.BAD_RESPONSES.takeIf { digest.phase == RolloutPhase.ROLLED_BACK }
            val news = reason != null && trial.onVerdict(Verdict.Bad(reason), parts.clock().wallClockMs)
            if (news) {
                val unheardMs = 0L
                parts.log.verdict(rollout, peer.value, unheardMs)
                parts.log.stopped(rollout, "peer", unheardMs)
            }
        }
    }

    /** Begins to gather evidence once order and status are known; the status says when the order began. */
    private fun beginEvidence(rollout: PoolRollout) {
        val trial = rollout.trial?.takeIf { it.evidence == null } ?: return
        val status = rollout.orderStatus ?: return
        trial.evidence = RolloutEvidence(
            trial.order,
            parts.settings.id,
            parts.startedWallClockMs,
            status.startedWallClockMs,
        )
    }
}
