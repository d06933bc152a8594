package corneltrack.policy.limits

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EventLoopLagTest {
    private val lag = EventLoopLag(periodMs = 25)

    @Test
    fun `a router that keeps up has no lag`() {
        (0..10).forEach { lag.onTick(it * 25L) }

        assertEquals(0, lag.lagMs(260))
    }

    @Test
    fun `a long batch of reads shows before it has ended`() {
        lag.onTick(0)

        assertEquals(275, lag.lagMs(300))
    }

    @Test
    fun `what is read first after a long batch has waited through it`() {
        lag.onTick(0)
        lag.onTick(325)

        assertEquals(300, lag.lagMs(326))
        lag.onTick(350)
        assertEquals(300, lag.lagMs(351), "a new connection's request is read a turn later")
        lag.onTick(375)
        assertEquals(0, lag.lagMs(376))
    }

    /**
     * A processor that relays 100 requests a second is sent 300 a second for ten seconds. Requests that are read later
     * than the limit are refused, at a twentieth of the work. What is accepted must have been read in time.
     */
    @Test
    fun `under three times its load a router refuses two in three and reads the rest in time`() {
        val limitMs = 200L
        val arrivals = (0 until 3_000).map { it * 10L / 3 }
        var nowMs = 0.0
        var next = 0
        val waits = ArrayList<Double>()
        var refused = 0
        while (next < arrivals.size) {
            lag.onTick(nowMs.toLong())
            val batch = arrivals.drop(next).takeWhile { it <= nowMs }
            next += batch.size
            batch.forEach { arrivedMs ->
                val accepted = lag.lagMs(nowMs.toLong()) <= limitMs
                if (accepted) waits += nowMs - arrivedMs else refused++
                nowMs += if (accepted) 10.0 else 0.5
            }
            nowMs += if (batch.isEmpty()) 25.0 else 0.0
        }

        assertTrue(waits.size in 700..1_100, "${waits.size} accepted, 1,000 can be")
        assertTrue(refused >= 1_800, "$refused refused")
        val late = waits.count { it > 2 * limitMs }
        assertTrue(late * 20 <= waits.size, "$late of ${waits.size} accepted after twice the limit")
    }
}
