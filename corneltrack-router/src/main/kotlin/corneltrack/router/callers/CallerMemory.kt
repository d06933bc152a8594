package corneltrack.router.callers

import corneltrack.router.heapFraction
import io.netty.util.internal.PlatformDependent
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The part of the heap for decoded heads; bodies take up to 9/16 of it, responses that are not passed on 1/8. */
private const val HEADS_HEAP_FRACTION = 0.125

/** The part of their bound that heads keep however much bodies hold. */
private const val HEADS_RESERVE_FRACTION = 0.25

/** The part of the direct memory for received bytes that wait and responses that are not read. */
private const val WAITING_DIRECT_FRACTION = 0.33

/** The part of a bound from which on responses are no longer read ahead for callers that read slowly. */
private const val SHORT_FRACTION = 0.5

/** Beyond this multiple of a bound even a connection that is not slow gives way. */
private const val EXCESS_FACTOR = 1.5

/** What an ordinary caller holds. A connection that holds no more than that never gives way to others. */
private const val ORDINARY_BYTES = 4_096L

/** What a connection may have waiting while memory is plenty: a long response, so that its endpoint need not wait. */
private const val WAITING_BYTES_PER_CONNECTION = 4L * 1024 * 1024

/** The same while memory is short. */
private const val SHORT_WAITING_BYTES_PER_CONNECTION = 32L * 1024

/** What connections hold that is bounded together. */
internal enum class HeldKind {
    /** Heads of requests that are being read, by what they cost once decoded, on the heap. */
    HEADS,

    /** What is kept of the heads of requests that have been passed on, on the heap. Never gives way. */
    IN_PROGRESS,

    /** Bytes received and not decoded, in direct memory, and responses that are not read, there or on the heap. */
    WAITING,
}

/**
 * The bounds of [CallerMemory], in bytes.
 *
 * @property headBytes what the heads of all connections may take, decoded ones and those of requests in progress.
 * @property totalHeapBytes what heads and bodies together may take; bodies that grow take it from large heads.
 * @property waitingBytes what all connections may have waiting to be decoded or to be read.
 */
internal data class CallerMemoryBounds(
    val headBytes: Long = heapFraction(HEADS_HEAP_FRACTION),
    val totalHeapBytes: Long = heapFraction(TOTAL_HEAP_FRACTION),
    val waitingBytes: Long = (PlatformDependent.maxDirectMemory() * WAITING_DIRECT_FRACTION).toLong(),
)

/** A connection that holds memory and can give it back. */
internal interface MemoryHolder {
    /** Whether the connection takes longer than other callers to read what waits for it. */
    val slow: Boolean

    /**
     * Refuses the request that is being read, or cuts off the response that the caller does not read, since the
     * connection holds more than others while memory is short.
     */
    fun giveWay(kind: HeldKind)
}

/**
 * Accounts for what the router holds for its callers beside bodies, and bounds each kind over all connections.
 *
 * Answers clients that together take more than the process has, each within its limits. Where a bound is exceeded, the
 * connections that hold most give way, not the newest, so that ordinary callers are served beside a crowd. For the
 * memory of heads, only requests that have not been passed on give way. One connection alone never gives way.
 * Thread-safe, but for each [Part], which belongs to one connection.
 *
 * @param bodyBytes returns what the bodies of all requests hold.
 */
internal class CallerMemory(
    private val bounds: CallerMemoryBounds = CallerMemoryBounds(),
    private val bodyBytes: () -> Long = { 0 },
) {
    private val parts: MutableSet<Part> = ConcurrentHashMap.newKeySet()
    private val totals = List(HeldKind.entries.size) { AtomicLong() }

    /** Whether responses must not be read far ahead of their callers. */
    val short: Boolean get() = heldBytes(HeldKind.WAITING) > bounds.waitingBytes * SHORT_FRACTION

    /** Returns the bytes that all connections hold of [kind]. */
    fun heldBytes(kind: HeldKind): Long = totals[kind.ordinal].get()

    /** Whether a connection with [waitingBytes] waiting may get more of its response. */
    fun mayWait(waitingBytes: Long): Boolean =
        waitingBytes < if (short) SHORT_WAITING_BYTES_PER_CONNECTION else WAITING_BYTES_PER_CONNECTION

    /** Returns the part of a new connection, which holds nothing yet. */
    fun newPart(holder: MemoryHolder): Part = Part(holder)

    /** Has large heads give way to bodies, where both together take more than there is for them. */
    fun onBodiesGrown() = makeRoomForHeads()

    private fun headsBound(): Long {
        val reserve = (bounds.headBytes * HEADS_RESERVE_FRACTION).toLong()
        return minOf(bounds.headBytes, maxOf(reserve, bounds.totalHeapBytes - bodyBytes()))
    }

    private fun makeRoom(kind: HeldKind) = when (kind) {
        HeldKind.HEADS -> makeRoomForHeads()
        HeldKind.IN_PROGRESS -> Unit
        HeldKind.WAITING -> makeRoomForWaiting()
    }

    /** Has requests that are being read give way until the bound is kept; those in progress stay, and count. */
    private fun makeRoomForHeads() {
        while (heldBytes(HeldKind.HEADS) + heldBytes(HeldKind.IN_PROGRESS) > headsBound()) {
            val holders = parts.filter { it.held(HeldKind.HEADS) + it.held(HeldKind.IN_PROGRESS) > ORDINARY_BYTES }
            val largest = holders.maxByOrNull { it.held(HeldKind.HEADS) }
            if (largest == null || largest.held(HeldKind.HEADS) <= ORDINARY_BYTES || holders.size == 1) return
            largest.giveWay(HeldKind.HEADS)
        }
    }

    /** Has slow readers give way until the bound is kept, or whoever holds most where it is far exceeded. */
    private fun makeRoomForWaiting() {
        while (heldBytes(HeldKind.WAITING) > bounds.waitingBytes) {
            val holders = parts.filter { it.held(HeldKind.WAITING) > ORDINARY_BYTES }
            val excess = heldBytes(HeldKind.WAITING) > bounds.waitingBytes * EXCESS_FACTOR
            val candidates = if (excess) holders else holders.filter { it.slow }
            val largest = candidates.maxByOrNull { it.held(HeldKind.WAITING) }
            if (largest == null || holders.size == 1) return
            largest.giveWay(HeldKind.WAITING)
        }
    }

    /** What one connection holds. */
    inner class Part(private val holder: MemoryHolder) {
        private val amounts = List(HeldKind.entries.size) { AtomicLong() }

        /** Set once the connection has given way, after which nothing is accounted for it. */
        @Volatile
        private var released = false

        /** Whether the connection takes longer than other callers to read what waits for it. */
        val slow: Boolean get() = holder.slow

        /** Returns the bytes held of [kind]. */
        fun held(kind: HeldKind): Long = amounts[kind.ordinal].get()

        /** Holds [newBytes] of [kind] instead of what was held before; others, or this, may have to give way. */
        fun hold(kind: HeldKind, newBytes: Long) {
            if (released) return
            val added = newBytes - amounts[kind.ordinal].getAndSet(newBytes)
            if (added == 0L) return
            if (newBytes > ORDINARY_BYTES) parts += this
            totals[kind.ordinal].addAndGet(added)
            if (added > 0) makeRoom(kind)
        }

        /** Holds nothing any more, for good. */
        fun release() {
            released = true
            parts -= this
            HeldKind.entries.forEach { kind -> totals[kind.ordinal].addAndGet(-amounts[kind.ordinal].getAndSet(0)) }
        }

        /** Frees what is held, and has the connection carry it out for [kind]. */
        fun giveWay(kind: HeldKind) {
            release()
            holder.giveWay(kind)
        }
    }
}
