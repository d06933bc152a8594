package corneltrack.router.callers

/** The time over which the rate of a reader is measured, in ms. */
private const val RATE_WINDOW_MS = 1_000L

/** How long an endpoint may wait for a caller that does not read, in ms; endpoints cut off what waits for longer. */
private const val HELD_BACK_TIMEOUT_MS = 3_000L

/** How long a caller may read nothing at all of what waits for it, in ms. */
private const val UNREAD_TIMEOUT_MS = 60_000L

/** What follows from a check of a [ResponseBacklog]. */
internal enum class BacklogStep {
    /** Nothing changes. */
    WAIT,

    /** The endpoint's response is read again. */
    RESUME,

    /** The caller reads too slowly; its connection closes before the end of the response. */
    CUT,
}

/**
 * Judges how fast a caller reads its responses. Confined to the connection's event loop.
 *
 * @param mayWait whether so many bytes may wait for the caller to read them.
 */
internal class ResponseBacklog(private val mayWait: (pendingBytes: Long) -> Boolean) {
    private var queuedBytes = 0L
    private var readBytes = 0L
    private var readAtWindowStart = 0L
    private var windowStartMs: Long? = null
    private var lastReadMs = 0L
    private var heldBack = false
    private var heldBackSinceMs: Long? = null

    /** Whether what waits would take the caller longer than a second to read. */
    var slow: Boolean = false
        private set

    /** Records that [bytes] more are to be read. */
    fun onQueued(bytes: Int) {
        queuedBytes += bytes
    }

    /** Whether more of the response may be read while [pendingBytes] wait; if not, a later check says when. */
    fun mayContinue(pendingBytes: Long): Boolean {
        val fits = mayWait(pendingBytes)
        heldBack = !fits
        if (fits) heldBackSinceMs = null
        return fits
    }

    /** Returns what to do while [pendingBytes] wait to be read. */
    fun check(pendingBytes: Long, nowMs: Long): BacklogStep {
        onProgress(pendingBytes, nowMs)
        val wasHeldBack = heldBack
        return when {
            wasHeldBack && mayContinue(pendingBytes) -> BacklogStep.RESUME
            wasHeldBack && nowMs - heldSince(nowMs) >= HELD_BACK_TIMEOUT_MS -> BacklogStep.CUT
            pendingBytes > 0 && nowMs - lastReadMs >= UNREAD_TIMEOUT_MS -> BacklogStep.CUT
            else -> BacklogStep.WAIT
        }
    }

    private fun heldSince(nowMs: Long) = heldBackSinceMs ?: nowMs.also { heldBackSinceMs = it }

    private fun onProgress(pendingBytes: Long, nowMs: Long) {
        val readNow = maxOf(readBytes, queuedBytes - pendingBytes)
        val start = windowStartMs
        if (pendingBytes == 0L || start == null || readNow > readBytes) lastReadMs = nowMs
        readBytes = readNow
        when {
            pendingBytes == 0L -> {
                slow = false
                windowStartMs = null
            }
            start == null -> startWindow(nowMs)
            nowMs - start >= RATE_WINDOW_MS -> {
                slow = pendingBytes > readBytes - readAtWindowStart
                startWindow(nowMs)
            }
        }
    }

    private fun startWindow(nowMs: Long) {
        windowStartMs = nowMs
        readAtWindowStart = readBytes
    }
}
