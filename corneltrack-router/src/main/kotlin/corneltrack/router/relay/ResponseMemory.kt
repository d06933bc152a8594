package corneltrack.router.relay

import corneltrack.router.heapFraction

/** 8 MiB of the heap of 64 MiB that the router is deployed with. */
private const val HELD_HEAP_FRACTION = 0.125
private const val MAXIMUM_HELD_BYTES = 8L * 1024 * 1024

/**
 * Bounds what responses hold together while it is not passed on: bodies that are buffered until they are complete, and
 * events without an end. Answers faulty endpoints that send without end over many connections. Confined to the event
 * loop.
 */
internal class ResponseMemory(private val maximumBytes: Long = defaultMaximumBytes()) {
    /** The bytes held by all responses. */
    var heldBytes: Long = 0
        private set

    /** Returns the part of a new response, which holds nothing yet. */
    fun newPart(): Part = Part()

    /** The part of one response. */
    inner class Part {
        private var bytes = 0

        /** Holds [newBytes] instead of what was held before. Returns false, and changes nothing, if it is too much. */
        fun tryHold(newBytes: Int): Boolean {
            val heldAfter = heldBytes - bytes + newBytes
            val fits = newBytes <= bytes || heldAfter <= maximumBytes
            if (fits) {
                heldBytes = heldAfter
                bytes = newBytes
            }
            return fits
        }

        /** Holds nothing any more. */
        fun release() {
            tryHold(0)
        }
    }
}

private fun defaultMaximumBytes(): Long = minOf(MAXIMUM_HELD_BYTES, heapFraction(HELD_HEAP_FRACTION))
