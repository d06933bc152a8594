package corneltrack.router.callers

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts callers' open connections and pending requests, and lets them end at a shutdown. Thread-safe. */
internal class CallerConnections {
    private val open: MutableSet<CallerConnection> = ConcurrentHashMap.newKeySet()
    private val pending = AtomicInteger()

    /** Whether each connection is to close after the answer under way. */
    @Volatile
    var draining: Boolean = false
        private set

    /** The requests whose answer has not left in full. */
    val pendingRequests: Int get() = pending.get()

    /** The open connections. */
    val openCount: Int get() = open.size

    /** Lets each connection close after the answer under way. */
    fun startDraining() {
        draining = true
    }

    /** Closes the connections without a request. */
    fun closeIdle() = open.forEach { it.closeIfIdle() }

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
