package corneltrack.router.callers

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

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
