package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.RolloutStatus
import corneltrack.world.PoolId

/** How much longer each further router waits, in ms, until it writes a lost status again. */
private const val REWRITE_STAGGER_MS = 300L

/** Finds the statuses that the store lost as it came back from an older copy. Only used on the event loop. */
internal class LostStatuses(private val parts: RolloutParts) {
    private val follower = parts.link.statuses.follower
    private var lostSinceMs: Long? = null

    /** Returns a status for this router to write again; null if none was lost, or it is another router's turn. */
    fun next(): Pair<PoolId, RolloutStatus>? {
        val nowMs = parts.clock().monotonicMs
        val lost = parts.all.firstNotNullOfOrNull { rollout ->
            rollout.status?.takeIf { isLost(rollout.pool, it, nowMs) }?.let { rollout.pool to it }
        }
        val sinceMs = if (lost == null) null else lostSinceMs ?: nowMs
        lostSinceMs = sinceMs
        return lost?.takeIf { sinceMs != null && nowMs - sinceMs >= REWRITE_STAGGER_MS * rank(nowMs) }
    }

    private fun isLost(pool: PoolId, status: RolloutStatus, nowMs: Long): Boolean {
        val key = parts.records.statusKey(pool)
        val stored = follower.records.of(key, nowMs)?.value?.let(parts.records.decodeStatus)
        return !follower.records.isRecorded(key, follower.end.era) || stored != null && status.follows(stored)
    }

    private fun rank(nowMs: Long) =
        parts.link.contacts(nowMs).count { it.id.value < parts.settings.id.value && it.responsive }
}
