package corneltrack.policy.discovery

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val SENT_MS = 10_000L
private const val MARGIN_MS = 5L
private const val RUNS = 1_000

class ClockEchoesTest {
    private val own = ClockEchoes(firstStamp = 700)
    private val peer = ClockEchoes(firstStamp = 5)

    @Test
    fun `a message that waited is known to have waited`() {
        val echo = echoAfter(heldMs = 300)

        assertDelay(2_050, own.maximumDelayMs(echo, at(SENT_MS + 50 + 300 + 2_000)))
    }

    @Test
    fun `a message that came at once is known to be young however long the stamp was held`() {
        val echo = echoAfter(heldMs = 9_000)

        assertDelay(2, own.maximumDelayMs(echo, at(SENT_MS + 1 + 9_000 + 1)), marginMs = 12)
    }

    @Test
    fun `the time during a suspension of the recipient counts`() {
        val echo = echoAfter(heldMs = 300)

        assertDelay(5_000, own.maximumDelayMs(echo, ClockReading(SENT_MS + 300, SENT_MS + 300 + 5_000)))
    }

    @Test
    fun `a peer that has no stamp proves nothing`() =
        assertNull(own.maximumDelayMs(peer.echo("own", SENT_MS), at(SENT_MS)))

    @Test
    fun `the stamp of a former process proves nothing`() {
        val echo = echoAfter(heldMs = 300)
        val successor = ClockEchoes(firstStamp = 900_000)
        repeat(50) { successor.stamp(at(SENT_MS + it)) }

        assertNull(successor.maximumDelayMs(echo, at(SENT_MS + 100)))
    }

    @Test
    fun `neither does one that was not sent yet or is forgotten`() {
        val echo = echoAfter(heldMs = 300)
        assertNull(own.maximumDelayMs(StampEcho(echo.stamp + 1, 0), at(SENT_MS)))
        repeat(200) { own.stamp(at(SENT_MS + it)) }

        assertNull(own.maximumDelayMs(echo, at(SENT_MS + 500)))
    }

    @Test
    fun `a stamp that was held for too long is not returned`() {
        peer.onStamp("own", own.stamp(at(SENT_MS)), 500)

        assertEquals(StampEcho(), peer.echo("own", 500 + 60_000))
    }

    @Test
    fun `the bound is never below the true delay and late by the way of the stamp`() {
        val random = Random(1)
        repeat(RUNS) {
            val stampWayMs = random.nextDouble(0.0, 2_000.0)
            val heldMs = random.nextDouble(0.0, 1_000.0)
            val delayMs = random.nextDouble(0.0, 2_000.0)
            val sentMs = SENT_MS + 10_000 * it + random.nextDouble()
            val peerOriginMs = random.nextDouble(0.0, 1e9)
            peer.onStamp("own", own.stamp(at(sentMs.toLong())), (sentMs + stampWayMs - peerOriginMs).toLong())
            val echo = peer.echo("own", (sentMs + stampWayMs + heldMs - peerOriginMs).toLong())
            val arrivalMs = (sentMs + stampWayMs + heldMs + delayMs).toLong()

            val boundMs = assertNotNull(own.maximumDelayMs(echo, at(arrivalMs)))

            assertTrue(boundMs >= delayMs, "$boundMs ms, under way for $delayMs ms")
            assertTrue(boundMs <= delayMs + stampWayMs + MARGIN_MS, "$boundMs ms, $delayMs and $stampWayMs ms")
        }
    }

    /** The echo of a stamp that the peer got at 500 ms of its clock. */
    private fun echoAfter(heldMs: Long): StampEcho {
        peer.onStamp("own", own.stamp(at(SENT_MS)), 500)
        return peer.echo("own", 500 + heldMs)
    }

    private fun at(ms: Long) = ClockReading(ms, ms)

    private fun assertDelay(expectedMs: Long, actualMs: Long?, marginMs: Long = MARGIN_MS) = assertTrue(
        assertNotNull(actualMs) in expectedMs..expectedMs + marginMs,
        "$actualMs ms, expected $expectedMs",
    )
}
