package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.TopicPosition

/**
 * How long after the store came back from an older copy a router keeps what the copy lacks, in ms: operators and
 * endpoints write again what was lost.
 */
internal const val SETTLING_MS: Long = 2_000L

/**
 * What the store lost when it came back from an older copy, as far as a router knows.
 *
 * A load then shows what the store has, which may be older than what the router knows. Until operators and endpoints
 * have had [SETTLING_MS] to write again what was lost, the router keeps what it knows of keys that the load lacks or
 * has other content for. What is written after the load counts at once.
 */
internal class LostRecords(private val records: RecordDeduplicator) {
    /** The records of the last load that contradict what this router knows from an older era. */
    private var heldBack: List<KeyedRecord> = emptyList()

    /** When what was lost counts as not written again, in ms of the monotonic clock; null if nothing is open. */
    private var settlesMs: Long? = null

    /** Whether this router may know something that the store lacks. */
    val isOpen: Boolean get() = settlesMs != null

    /** Records what a complete [load] showed. */
    fun onLoad(load: TopicLoad) {
        heldBack = load.heldBack.toList()
        if (load.beginsEra) settlesMs = load.startedAt.monotonicMs + SETTLING_MS
    }

    /**
     * Takes the store at its word for what was not written again, if the router knows all that there was at [asOf] and
     * the time for that is over.
     */
    fun settle(asOf: ClockReading, next: TopicPosition, nowMs: Long) {
        val dueMs = settlesMs
        if (dueMs == null || asOf.monotonicMs < dueMs) return
        settlesMs = null
        heldBack.forEach { records.accept(it, nowMs) }
        heldBack = emptyList()
        records.removeOlderEras(next, nowMs)
    }
}
