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
    fun `the lag of a long batch of reads shows before it ends`() {
        lag.onTick(0)

        assertEquals(275, lag.lagMs(300))
    }

    @Test
    fun `data read after a long batch has waited for it`() {
        lag.onTick(0)
        lag.onTick(325)

        assertEquals(300, lag.lagMs(326))
        lag.onTick(350)
        assertEquals(300, lag.lagMs(351), "a new connection's request is read one iteration later")
        lag.onTick(375)
        assertEquals(0, lag.lagMs(376))
    }

    /**
     * Simulates a processor that can relay 100 requests per second and gets 300 per second for ten seconds. Requests
     * read later than the limit are refused, which costs a twentieth of the work. Accepted requests must have been read
     * in time.
     */
    @Test
    fun `at three times its capacity a router refuses two in three requests and reads the rest in time`() {
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
            batch.forEach { arrivalMs ->
                val accepted = lag.lagMs(nowMs.toLong()) <= limitMs
                if (accepted) waits += nowMs - arrivalMs else refused++
                nowMs += if (accepted) 10.0 else 0.5
            }
            nowMs += if (batch.isEmpty()) 25.0 else 0.0
        }

        assertTrue(waits.size in 700..1_100, "expected 700 to 1,100 accepted, found ${waits.size}")
        assertTrue(refused >= 1_800, "expected at least 1,800 refused, found $refused")
        val late = waits.count { it > 2 * limitMs }
        assertTrue(late * 20 <= waits.size, "expected at most 5 % read late, found $late of ${waits.size}")
    }
}
