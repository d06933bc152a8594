package corneltrack.policy.discovery

import kotlinx.serialization.Serializable

/** The stamps that a router remembers having sent; at one each 100 ms those of 10 s. */
private const val REMEMBERED_STAMPS = 100

/** The time after which a stamp is not echoed any more, in ms; its sender has forgotten it by then. */
private const val MAXIMUM_HELD_MS = 10_000L

/** By how much two differences of clocks that are read in whole ms may be too short, in ms. */
private const val ROUNDING_MS = 2L

/** One in so many ms is the most by which the clocks of two machines differ while both are being slewed. */
private const val DRIFT_DIVISOR = 1_000L

/**
 * Returns a stamp to the router that sent it.
 *
 * @property stamp the stamp of that router that arrived last, or 0 if there is none.
 * @property heldMs the time since its arrival on the monotonic clock of the router that returns it, in ms.
 */
@Serializable
public data class StampEcho(val stamp: Long = 0, val heldMs: Long = 0)

/**
 * Bounds how long messages between two routers were under way, without comparing the clocks of two machines.
 *
 * Each router sends numbered stamps and remembers when it sent them. A peer that answers with a [StampEcho] must have
 * had the stamp for the time it states, so that its message was made no earlier than that time after the stamp was
 * sent. The way of the stamp counts as a delay of the message, so the bound is late by that at most.
 *
 * Not thread-safe.
 *
 * @param firstStamp the number of the first stamp, at least 1; random, so that a peer that returns a stamp of a former
 *   process of this router proves nothing.
 */
public class ClockEchoes(firstStamp: Long) {
    private class Held(val stamp: Long, val receivedMs: Long)

    private val sentAt = ArrayDeque<ClockReading>()
    private var nextStamp = firstStamp
    private val held = HashMap<String, Held>()

    /** Returns a stamp to send at [now], which may go to several peers. */
    public fun stamp(now: ClockReading): Long {
        sentAt.addLast(now)
        if (sentAt.size > REMEMBERED_STAMPS) sentAt.removeFirst()
        return nextStamp++
    }

    /** Records that the [stamp] of [peer] arrived at [nowMs] of the monotonic clock; 0 for a message without one. */
    public fun onStamp(peer: String, stamp: Long, nowMs: Long) {
        if (stamp == 0L) return
        held.values.removeIf { nowMs - it.receivedMs > MAXIMUM_HELD_MS }
        held[peer] = Held(stamp, nowMs)
    }

    /** Returns the echo to [peer] that belongs to a message made at [nowMs] of the monotonic clock or later. */
    public fun echo(peer: String, nowMs: Long): StampEcho {
        val last = held[peer] ?: return StampEcho()
        val heldMs = nowMs - last.receivedMs
        return if (heldMs in 0..MAXIMUM_HELD_MS) StampEcho(last.stamp, heldMs) else StampEcho()
    }

    /**
     * Returns the time, in ms, that a message with [echo] that arrives at [now] was under way at most; null if the echo
     * proves nothing.
     */
    public fun maximumDelayMs(echo: StampEcho, now: ClockReading): Long? {
        val sent = sentAt.getOrNull((echo.stamp - (nextStamp - sentAt.size)).toIndex()) ?: return null
        val heldMs = echo.heldMs.coerceAtLeast(0)
        return maxOf(0, now.since(sent) - heldMs + heldMs / DRIFT_DIVISOR + ROUNDING_MS)
    }
}

private fun Long.toIndex(): Int = if (this in 0 until REMEMBERED_STAMPS) toInt() else -1
