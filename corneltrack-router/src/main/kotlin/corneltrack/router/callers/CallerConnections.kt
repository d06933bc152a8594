package corneltrack.router.callers

import corneltrack.router.Clock
import io.netty.handler.codec.http.HttpRequest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** How long connections that were accepted last may take to send a request and read its answer, in ms. */
private const val LAST_ANSWERS_TIMEOUT_MS = 1_000L
private const val CLOSED_POLL_MS = 20L

/** The fraction of the maximum from which on connections close after their response instead of staying open. */
private const val CROWDED_FRACTION = 0.8

/**
 * Tracks the open connections of callers and their pending requests, and closes them on shutdown. Thread-safe.
 *
 * @param maximum the connections that may be open at once, so that descriptors are left for endpoints, peers and the
 *   store however many callers connect.
 * @property bodyMemory the memory for the bodies of all requests.
 * @property memory what is held for callers beside bodies.
 * @property onBodyRefused called with the head of each request for whose body there is no memory.
 */
internal class CallerConnections(
    private val maximum: Int = Int.MAX_VALUE,
    val bodyMemory: BodyMemory = BodyMemory(),
    val memory: CallerMemory = CallerMemory { bodyMemory.heldBytes },
    val onBodyRefused: (HttpRequest) -> Unit = {},
) {
    private val open: MutableSet<CallerConnection> = ConcurrentHashMap.newKeySet()
    private val pending = AtomicInteger()
    private val accepted = AtomicLong()
    private val requests = AtomicLong()

    /** Counts the connections that were refused or cut off, by reason. */
    val shed: ShedCounts = ShedCounts()

    /** Whether idle connections were closed since there were last few, so that a flood does not have it done again. */
    private val makingRoom = AtomicBoolean()

    /** Whether each connection closes after its current response. */
    @Volatile
    var draining: Boolean = false
        private set

    /** The number of requests whose response has not been written completely. */
    val pendingRequests: Int get() = pending.get()

    /** The number of open connections. */
    val openCount: Int get() = open.size

    /** The number of connections accepted so far. */
    val acceptedTotal: Long get() = accepted.get()

    /** The number of requests read so far. */
    val requestsTotal: Long get() = requests.get()

    /** Whether a connection may stay open after its response. */
    val mayStayOpen: Boolean get() = !draining && openCount <= maximum * CROWDED_FRACTION

    /** Makes each connection close after its current or next response. */
    fun startDraining() {
        draining = true
    }

    /** Closes the connections that have no request. */
    fun closeIdle() = open.forEach { it.closeIfIdle() }

    /** Resumes responses whose callers have read enough, and cuts off those whose callers read too slowly. */
    fun checkReaders(nowMs: Long) = open.forEach { it.checkReader(nowMs) }

    /** Whether a connection is kept, beside [accepting] others that are not known to their handlers yet. */
    fun admits(accepting: Int): Boolean {
        val room = openCount + accepting < maximum
        if (!room) {
            shed.count(ShedReason.TOO_MANY_CONNECTIONS)
            makeRoom()
        }
        return room
    }

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

    /**
     * Records a new connection. Returns false if it is one too many; idle ones are then closed to make room for later.
     */
    fun onOpened(connection: CallerConnection): Boolean {
        accepted.incrementAndGet()
        open += connection
        val fits = openCount <= maximum
        if (!fits) makeRoom()
        return fits
    }

    private fun makeRoom() {
        if (!makingRoom.getAndSet(true)) closeIdle()
    }

    fun onClosed(connection: CallerConnection) {
        open -= connection
        if (openCount <= maximum * CROWDED_FRACTION) makingRoom.set(false)
    }

    fun onRequest() {
        requests.incrementAndGet()
        pending.incrementAndGet()
    }

    fun onWritten() {
        pending.decrementAndGet()
    }
}
