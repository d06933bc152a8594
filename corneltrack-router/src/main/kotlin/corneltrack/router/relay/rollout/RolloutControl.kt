package corneltrack.router.relay.rollout

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.rollout.RolloutOrder
import corneltrack.policy.rollout.RolloutResponse
import corneltrack.policy.rollout.TrialShare
import corneltrack.policy.rollout.firstTrialCredit
import corneltrack.router.relay.RelayedCall
import corneltrack.world.PoolId

/** No endpoint may serve an attempt. */
private val NO_VERSIONS = AttemptVersions({ false })

/** Says which versions of a pool's endpoints get requests during and after roll-outs. Only used on the event loop. */
internal class RolloutControl(private val parts: RolloutParts) : VersionControl {
    private val currency = parts.currency

    override fun forAttempt(call: RelayedCall, nowMs: Long): AttemptVersions {
        val pool = call.pool.id
        val listed = usable(pool, nowMs) ?: return NO_VERSIONS
        val rollout = parts.of(pool)
        val inForce = rollout.inForce(listed)
        val trial = inForce.trial?.takeIf { call.attempts == 0 && !call.mayHaveRun && it in listed }
        val spare = rollout.spare(listed)
        return AttemptVersions(
            regular = allowing(inForce.regular),
            trial = trial?.let { rollout.trial }?.let { chance(pool, it, nowMs) },
            spare = spare.takeIf { it.isNotEmpty() }?.let(::allowing),
        )
    }

    override fun regular(pool: PoolId, nowMs: Long): VersionFilter {
        val listed = usable(pool, nowMs) ?: return NO_VERSIONS.regular
        return allowing(parts.of(pool).inForce(listed).regular)
    }

    override fun pace(chosen: KnownEndpoint): PoolPace? {
        val trial = parts.of(chosen.entry.endpoint.pool).trial?.takeIf { it.gathers } ?: return null
        return paceOf(parts.states.of(chosen)).takeUnless { trial.bad }
    }

    override fun onBegin(pool: PoolId, version: String, nowMs: Long) = parts.of(pool).onInFlight(version, 1, nowMs)

    override fun onSent(pool: PoolId, version: String) {
        parts.of(pool).trial?.share?.onRequest()
        parts.metrics.onSent(pool, version)
    }

    override fun onResponse(pool: PoolId, response: RolloutResponse) {
        val trial = parts.of(pool).trial ?: return
        trial.onResponse(response, parts.clock().wallClockMs)
        parts.metrics.onResponse(pool, response)
    }

    override fun onEnd(pool: PoolId, version: String, elapsedMs: Long) {
        val rollout = parts.of(pool)
        rollout.onInFlight(version, -1, parts.clock().monotonicMs)
        rollout.onDuration(elapsedMs)
    }

    override fun isOnTrial(pool: PoolId, version: String): Boolean {
        val rollout = parts.of(pool)
        val trial = rollout.trial?.takeIf { it.order.target == version } ?: return false
        return trial.bad || rollout.inForce(setOf(version)).trial == version
    }

    /** Returns the versions of [pool] that may be used, or null if this router does not know which are in force. */
    private fun usable(pool: PoolId, nowMs: Long): Set<String>? {
        currency.observe()
        val listed = parts.versions.of(pool, nowMs)
        val certain = currency.current || currency.loaded && listed.all.size == 1
        return listed.confirmed.takeIf { certain }
    }

    private fun chance(pool: PoolId, trial: OrderTrial, nowMs: Long): TrialChance? {
        val contacts = parts.link.contacts(nowMs)
        val plan = trial.plan(parts.versions.endpoints(pool), parts.trialShare, nowMs)
        val open = parts.mayTrial(contacts) && plan.open(parts.clock().wallClockMs)
        return if (open) TrialChance({ it.entry.endpoint.id in plan.endpoints }, trial::take) else null
    }
}

private fun allowing(versions: Set<String>): VersionFilter = { it.entry.version in versions }

/** Returns what this router keeps about [order], which it has read [atStart] or as it was written. */
internal fun RolloutParts.newTrial(order: RolloutOrder, atStart: Boolean): OrderTrial {
    val now = clock()
    val peers = link.contacts(now.monotonicMs)
    val position = peers.count { it.id.value < settings.id.value }
    val credit = if (atStart) 0.0 else firstTrialCredit(position, peers.size + 1)
    return OrderTrial(order, TrialShare(trialShare, credit), now.wallClockMs)
}
