package corneltrack.router.relay

import corneltrack.policy.discovery.TopicPosition
import corneltrack.policy.discovery.TopicWatermark

/** The changes of a topic that watermarks have announced and this router has not read. */
internal class MissedChanges {
    /** The end of these changes, or null if there are none. */
    private var end: TopicPosition? = null

    /** The latest end of the topic that was announced with them. */
    private var topicEnd: TopicPosition? = null

    /** When to read them from the store, in ms of the monotonic clock; null if no peer is expected to send them. */
    var dueMs: Long? = null

    val isEmpty: Boolean get() = end == null

    /** Records a change that [watermark] announces. */
    fun add(watermark: TopicWatermark) {
        end = later(end, watermark.lastChange)
        topicEnd = later(topicEnd, watermark.next)
    }

    /** Returns how many records a router that reads on at [next] has to read to reach the announced end. */
    fun recordsAfter(next: TopicPosition): Long =
        topicEnd?.takeIf { next.precedes(it) }?.let { it.offset - next.offset } ?: 0

    /** Forgets the changes if a router that reads on at [next] has them. */
    fun onProgress(next: TopicPosition) {
        if (end?.let(next::reaches) != false) clear()
    }

    /** Forgets the changes, as the topic has been read to its end. */
    fun clear() {
        end = null
        topicEnd = null
        dueMs = null
    }

    /** Whether to read the changes from the store now. */
    fun isDue(nowMs: Long): Boolean = !isEmpty && dueMs.let { it == null || nowMs >= it }
}

private fun later(known: TopicPosition?, announced: TopicPosition): TopicPosition =
    if (known == null || announced.supersedes(known)) announced else known
