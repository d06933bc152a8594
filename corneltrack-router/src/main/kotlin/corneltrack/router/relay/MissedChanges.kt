package corneltrack.router.relay

import corneltrack.policy.discovery.TopicWatermark

/** The changes of a topic that watermarks have announced and this router has not read. */
internal class MissedChanges {
    /** The end of these changes, or 0 if there are none. */
    private var end = 0L

    /** The latest end of the topic that was announced with them. */
    var topicEnd = 0L
        private set

    /** When to read them from the store, in ms of the monotonic clock; null if no peer is expected to send them. */
    var dueMs: Long? = null

    val isEmpty: Boolean get() = end == 0L

    /** Records a change that [watermark] announces. */
    fun add(watermark: TopicWatermark) {
        end = maxOf(end, watermark.lastChangeEnd)
        topicEnd = maxOf(topicEnd, watermark.nextOffset)
    }

    /** Forgets the changes if a router that reads on at [nextOffset] has them. */
    fun onProgress(nextOffset: Long) {
        if (nextOffset >= end) clear()
    }

    /** Forgets the changes, as the topic has been read to its end. */
    fun clear() {
        end = 0
        topicEnd = 0
        dueMs = null
    }

    /** Whether to read the changes from the store now. */
    fun isDue(nowMs: Long): Boolean = !isEmpty && dueMs.let { it == null || nowMs >= it }
}
