package corneltrack.router.relay.rollout

import corneltrack.policy.discovery.TopicPosition
import corneltrack.policy.rollout.RolloutStatus
import corneltrack.router.relay.ConditionalWrite
import corneltrack.router.relay.FollowedKeyedTopic
import corneltrack.world.PoolId

/**
 * Writes statuses under the condition that the topic ends where this router has read to. After a conflict or a write of
 * unknown result, the topic is read on before the next write. Only used on the event loop.
 *
 * @param topic the topic of the statuses.
 * @param statuses confirms how far that topic has been read.
 */
internal class StatusWriter(
    private val topic: FollowedKeyedTopic,
    private val statuses: TopicConfirmation,
    private val records: RolloutRecords,
    private val monotonicMs: () -> Long,
) {
    private var pending = false
    private var readToEnd = TopicPosition.START
    private var readFromMs = Long.MIN_VALUE

    /** Whether the topic has been read as far as needed since the last write. */
    val ready: Boolean
        get() {
            val read = !topic.follower.end.precedes(readToEnd) && statuses.covers(readFromMs)
            if (!pending && !read) statuses.request()
            return !pending && read
        }

    /** Writes [status] of [pool] and calls back with the result. */
    fun write(pool: PoolId, status: RolloutStatus, onDone: (ConditionalWrite) -> Unit) {
        pending = true
        val end = topic.follower.end
        topic.topic.writeAt(records.statusKey(pool), records.encodeStatus(status), end) { result ->
            pending = false
            when (result) {
                is ConditionalWrite.Written -> readTo(result.position.next)
                is ConditionalWrite.Conflict -> readTo(result.end ?: end.next)
                is ConditionalWrite.Unknown -> readFromMs = monotonicMs()
            }
            onDone(result)
        }
    }

    private fun readTo(end: TopicPosition) {
        if (end.supersedes(readToEnd)) readToEnd = end
        statuses.readTo(end)
    }
}
