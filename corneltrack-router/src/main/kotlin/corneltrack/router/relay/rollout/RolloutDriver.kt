package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.RolloutBounds
import corneltrack.policy.rollout.RolloutSchedule
import corneltrack.policy.rollout.RolloutStatus
import corneltrack.policy.rollout.RolloutStep
import corneltrack.policy.rollout.RolloutView
import corneltrack.policy.rollout.Verdict
import corneltrack.policy.rollout.baselineOf
import corneltrack.policy.rollout.decideRolloutStep
import corneltrack.policy.rollout.judge
import corneltrack.router.relay.ConditionalWrite
import corneltrack.router.relay.PeerContact
import corneltrack.wire.event
import corneltrack.world.PoolId
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** Covers the second for which the baseline stays open without need, and its last requests. */
private const val MINIMUM_DRAIN_MS = 1_500L
private val BOUNDS = RolloutBounds()
private val logger = LogManager.getLogger("corneltrack.router.relay.rollout.RolloutDriver")

/** Judges open roll-outs, reports on them to the peers, and writes their next statuses. Only used on the event loop. */
internal class RolloutDriver(private val parts: RolloutParts, private val reader: RolloutRecordReader) {
    private val writer = with(parts) {
        StatusWriter(link.statuses, currency.statuses, records) { clock().monotonicMs }
    }
    private val lostStatuses = LostStatuses(parts)
    private val isolated = HashSet<PoolId>()

    /** Whether the router has known once, since its start, which of the listed versions are in force. */
    @Volatile
    var started: Boolean = false
        private set

    /** Advances all open roll-outs. */
    fun onTick() {
        try {
            tick()
        } catch (fault: IllegalStateException) {
            logger.event("rollout_tick_failed", Level.ERROR) { field("reason", fault) }
        }
    }

    private fun tick() {
        val now = parts.clock()
        parts.currency.observe()
        val tablePools = parts.routingState.table?.pools?.keys.orEmpty()
        val lists = tablePools.map { parts.versions.of(it, now.monotonicMs) }
        started = started || parts.currency.current && lists.all { it.confirmed.size == it.all.size }
        val reported = parts.all.filter { it.pool in tablePools && it.isReported(now.monotonicMs) }
        if (reported.isNotEmpty()) advance(reported)
        lostStatuses.next()?.let { (pool, status) -> if (writer.ready && parts.currency.current) write(pool, status) }
    }

    private fun advance(reported: List<PoolRollout>) {
        val nowMs = parts.clock().monotonicMs
        val contacts = parts.link.contacts(nowMs)
        val rank = contacts.count { it.id.value < parts.settings.id.value && it.responsive }
        reported.forEach { rollout ->
            if (rollout.open) {
                rollout.closeBaseline(nowMs, parts.clock().wallClockMs)
                judge(rollout, contacts)
            }
            parts.reports.send(rollout, rank == 0, nowMs)
            if (rollout.open && writer.ready && parts.currency.current) decide(rollout, contacts, rank)
        }
        parts.reports.nextRound()
    }

    private fun judge(rollout: PoolRollout, contacts: List<PeerContact>) {
        val unheardMs = parts.unheardMs(contacts)
        val cutOff = !parts.mayTrial(contacts)
        if (cutOff && isolated.add(rollout.pool)) parts.log.stopped(rollout, "isolated", unheardMs)
        if (!cutOff) isolated.remove(rollout.pool)
        val trial = rollout.trial ?: return
        if (updateVerdict(rollout, trial)) {
            parts.log.verdict(rollout, parts.settings.id.value, unheardMs)
            if (trial.bad) parts.log.stopped(rollout, "bad", unheardMs)
        }
    }

    private fun updateVerdict(rollout: PoolRollout, trial: OrderTrial): Boolean {
        val startedMs = rollout.orderStatus?.startedWallClockMs
        val evidence = trial.evidence
        if (startedMs == null || evidence == null) return false
        val wallClockMs = parts.clock().wallClockMs
        val lastCall = schedule(rollout).lastCall(startedMs, trial.order.durationMs, wallClockMs)
        return trial.onVerdict(judge(evidence, BOUNDS, lastCall), wallClockMs)
    }

    private fun decide(rollout: PoolRollout, contacts: List<PeerContact>, rank: Int) {
        val now = parts.clock()
        val listed = parts.versions.of(rollout.pool, now.monotonicMs).all
        val trial = rollout.trial
        val view = RolloutView(
            instance = parts.settings.id,
            rank = rank,
            order = rollout.order,
            orderSeenMs = trial?.seenMs ?: now.wallClockMs,
            status = rollout.status,
            baseline = baselineOf(listed, rollout.order, rollout.status),
            targetEndpoints = rollout.order?.let { targetEndpoints(rollout.pool, it.target) },
            verdict = trial?.verdict ?: Verdict.Undecided,
            badSinceMs = trial?.badSinceMs ?: rollout.removedMs,
            shifts = parts.reports.shifts(rollout, contacts),
            schedule = schedule(rollout),
        )
        val step = decideRolloutStep(view, now.wallClockMs)
        if (step is RolloutStep.Write) write(rollout.pool, step.status)
    }

    private fun write(pool: PoolId, status: RolloutStatus) = writer.write(pool, status) { result ->
        parts.log.written(pool, status, result)
        if (result is ConditionalWrite.Written) reader.onStatus(pool, status)
    }

    private fun targetEndpoints(pool: PoolId, target: String): Int? =
        parts.versions.endpoints(pool).count { it.entry.version == target }
            .takeIf { parts.routingState.endpointsLoaded }

    private fun schedule(rollout: PoolRollout): RolloutSchedule {
        val routes = parts.routingState.table?.routes.orEmpty()
        val ofPool = routes.filter { route -> route.pools.any { it.pool == rollout.pool } }
        val limitMs = ofPool.maxOfOrNull { it.timeoutMs } ?: 0
        val drainMs = maxOf(minOf(rollout.durationMs.toLong(), limitMs), MINIMUM_DRAIN_MS)
        return RolloutSchedule(drainMs, limitMs)
    }
}
