package corneltrack.router.callers

import corneltrack.router.heapFraction
import java.util.concurrent.atomic.AtomicLong

/** Bodies up to this size may use a part of the memory that is kept from longer ones. */
private const val SHORT_BODY_BYTES = 64 * 1024L

/** The part of the heap that bodies may occupy; they are sent as they are held. */
private const val BODIES_HEAP_FRACTION = 0.5

/** The part of the heap that is added to it for short bodies. */
private const val SHORT_BODIES_HEAP_FRACTION = 0.0625

/** The part of the heap for bodies and decoded heads together, also those of requests in progress. */
internal const val TOTAL_HEAP_FRACTION = 0.625

/**
 * Bounds the memory that the bodies of all requests occupy together, from their heads until their responses have been
 * written. Answers many callers that send long bodies at once, each within its limit, which without a bound leaves
 * nothing for short requests. Thread-safe, but for each [Part], which belongs to one connection.
 *
 * A body is always admitted while none is held, so that each request within the limit can be served.
 *
 * @param maximumBytes what all bodies may occupy.
 * @param shortBytes what short bodies may occupy beyond that.
 * @param totalBytes what bodies and [besideBytes] may occupy together.
 * @param besideBytes returns what is held beside bodies that can't give way to them.
 */
internal class BodyMemory(
    private val maximumBytes: Long = heapFraction(BODIES_HEAP_FRACTION),
    private val shortBytes: Long = heapFraction(SHORT_BODIES_HEAP_FRACTION),
    private val totalBytes: Long = heapFraction(TOTAL_HEAP_FRACTION),
    private val besideBytes: () -> Long = { 0 },
) {
    private val held = AtomicLong()

    /** The bytes held for all bodies. */
    val heldBytes: Long get() = held.get()

    /** Returns the part of a new body, which holds nothing yet. */
    fun newPart(): Part = Part()

    /** The part of one body. */
    inner class Part {
        private var bytes = 0L

        /** Holds [newBytes] unless more is held already. Returns false, and changes nothing, if that is too much. */
        fun tryHold(newBytes: Long): Boolean {
            val added = newBytes - bytes
            if (added <= 0) return true
            val limit = if (newBytes <= SHORT_BODY_BYTES) maximumBytes + shortBytes else maximumBytes
            val heldAfter = held.addAndGet(added)
            val fits = heldAfter == newBytes || heldAfter <= minOf(limit, totalBytes - besideBytes())
            if (fits) bytes = newBytes else held.addAndGet(-added)
            return fits
        }

        /** Holds [newBytes] instead of more. */
        fun shrinkTo(newBytes: Long) {
            val freed = bytes - newBytes
            if (freed <= 0) return
            held.addAndGet(-freed)
            bytes = newBytes
        }

        /** Holds nothing any more. */
        fun release() {
            held.addAndGet(-bytes)
            bytes = 0
        }
    }
}
