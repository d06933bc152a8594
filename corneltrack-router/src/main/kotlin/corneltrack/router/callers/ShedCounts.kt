package corneltrack.router.callers

import java.util.concurrent.atomic.AtomicLongArray

/** Why a caller's connection was refused or cut off. */
internal enum class ShedReason {
    /** Its head has too many bytes or lines. */
    HEAD_TOO_LARGE,

    /** Its head did not arrive in time. */
    HEAD_TIMEOUT,

    /** It held the most while the memory for heads was short. */
    HEAD_MEMORY,

    /** It held the most while the memory for what callers have not read was short. */
    WAITING_MEMORY,

    /** It read its response too slowly. */
    SLOW_READER,

    /** There were too many connections. */
    TOO_MANY_CONNECTIONS,
}

/** Counts connections that were refused or cut off, by reason. Thread-safe. */
internal class ShedCounts {
    private val counts = AtomicLongArray(ShedReason.entries.size)

    /** Counts one connection. */
    fun count(reason: ShedReason) {
        counts.incrementAndGet(reason.ordinal)
    }

    /** Returns the count of each reason so far. */
    fun totals(): Map<ShedReason, Long> = ShedReason.entries.associateWith { counts.get(it.ordinal) }
}
