package corneltrack.router.callers

import corneltrack.router.Clock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** How long connections that were accepted last may take to send a request and read its answer, in ms. */
private const val LAST_ANSWERS_TIMEOUT_MS = 1_000L
private const val CLOSED_POLL_MS = 20L

/** Tracks the open connections of callers and their pending requests, and closes them on shutdown. Thread-safe. */
internal class CallerConnections {
    private val open: MutableSet<CallerConnection> = ConcurrentHashMap.newKeySet()
    private val pending = AtomicInteger()

    /** Whether each connection closes after its current response. */
    @Volatile
    var draining: Boolean = false
        private set

    /** The number of requests whose response has not been written completely. */
    val pendingRequests: Int get() = pending.get()

    /** The number of open connections. */
    val openCount: Int get() = open.size

    /** Makes each connection close after its current or next response. */
    fun startDraining() {
        draining = true
    }

    /** Closes the connections that have no request. */
    fun closeIdle() = open.forEach { it.closeIfIdle() }

    /**
     * Waits until all connections are closed, after the server has stopped to accept any. Each closes after its answer.
     *
     * @return whether all are closed before [timeoutMs] have passed.
     */
    fun awaitClosed(clock: Clock, timeoutMs: Long = LAST_ANSWERS_TIMEOUT_MS): Boolean {
        val startMs = clock()
        while (openCount > 0 && clock() - startMs < timeoutMs) Thread.sleep(CLOSED_POLL_MS)
        return openCount == 0
    }

    fun onOpened(connection: CallerConnection) {
        open += connection
    }

    fun onClosed(connection: CallerConnection) {
        open -= connection
    }

    fun onRequest() {
        pending.incrementAndGet()
    }

    fun onWritten() {
        pending.decrementAndGet()
    }
}
