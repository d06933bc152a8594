package corneltrack.router.relay

/** Shorter than the pieces that endpoints send, by far for a response of many. */
private const val TINY_BYTES = 64
private const val WINDOW_MS = 1_000L

/** Many times what an engine can produce, also for a caller that has not read its response for seconds. */
private const val MAXIMUM_IN_WINDOW = 16_384

/**
 * Counts the short pieces of a body, each of which costs the processor as much as a long one. An endpoint that sends
 * them without end would take the time of all other requests.
 */
internal class TinyChunks {
    private var windowStartMs = Long.MIN_VALUE
    private var count = 0

    /** Records a piece of [bytes]. Returns whether too many short ones arrived within [WINDOW_MS]. */
    fun onChunk(bytes: Int, nowMs: Long): Boolean {
        if (bytes >= TINY_BYTES) return false
        if (windowStartMs == Long.MIN_VALUE || nowMs - windowStartMs >= WINDOW_MS) {
            windowStartMs = nowMs
            count = 0
        }
        return ++count > MAXIMUM_IN_WINDOW
    }
}
