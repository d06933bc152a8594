package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.RolloutStatus
import corneltrack.world.PoolId

/** Finds the statuses that the store lost as it came back from an older copy. Only used on the event loop. */
internal class LostStatuses(private val parts: RolloutParts) {
    private val follower = parts.link.statuses.follower

    /** Returns a status for this router to write again; null if none was lost, or another router will write it. */
    fun next(): Pair<PoolId, RolloutStatus>? {
        val lost = parts.all.firstNotNullOfOrNull { rollout ->
            rollout.status?.takeIf { !isRecorded(rollout.pool) }?.let { rollout.pool to it }
        }
        return lost?.takeIf { isFirst() }
    }

    private fun isRecorded(pool: PoolId) = follower.records.isRecorded(parts.records.statusKey(pool), follower.end.era)

    private fun isFirst() = parts.link.contacts(parts.clock().monotonicMs)
        .none { it.id.value < parts.settings.id.value && it.responsive }
}
