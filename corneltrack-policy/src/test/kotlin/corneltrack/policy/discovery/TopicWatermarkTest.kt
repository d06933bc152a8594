package corneltrack.policy.discovery

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TopicWatermarkTest {
    private val now = ClockReading(monotonicMs = 10_000, wallClockMs = 100_000)

    @Test
    fun `the age of the watermark counts from its arrival`() =
        assertEquals(600, now.since(TopicWatermark(5, 5, ageMs = 600, asOfWallClockMs = 99_400).asOf(now)))

    @Test
    fun `a delayed watermark has its age by the wall clock`() =
        assertEquals(3_000, now.since(TopicWatermark(5, 5, ageMs = 600, asOfWallClockMs = 97_000).asOf(now)))

    @Test
    fun `a wall clock of the sender that is ahead does not reduce the age`() =
        assertEquals(600, now.since(TopicWatermark(5, 5, ageMs = 600, asOfWallClockMs = 102_000).asOf(now)))

    @Test
    fun `the age at the arrival is proven by the delay, whatever the clock of the sender`() {
        listOf(90_000L, 99_400L, 102_400L).forEach { asOfWallClockMs ->
            val watermark = TopicWatermark(5, 5, ageMs = 600, asOfWallClockMs)

            assertEquals(2_600, now.since(watermark.delayedBy(2_000, now).asOf(now)), "as of $asOfWallClockMs")
        }
    }

    @Test
    fun `the age grows after the arrival`() {
        val watermark = TopicWatermark(5, 5, ageMs = 600, asOfWallClockMs = 102_400).delayedBy(100, now)

        assertEquals(750, now.plus(50).since(watermark.asOf(now.plus(50))))
    }

    @Test
    fun `a watermark whose delay is not known has the same positions and confirms nothing`() {
        val watermark = TopicWatermark(5, 4, ageMs = 600, asOfWallClockMs = 99_400)
        val unproven = watermark.delayedBy(null, now)

        assertEquals(watermark.next to watermark.lastChange, unproven.next to unproven.lastChange)
        assertTrue(now.since(unproven.asOf(now)) > now.wallClockMs, "older than anything that a router has read")
    }

    @Test
    fun `no stated age makes a watermark younger than its delay`() = listOf(-5_000L, Long.MIN_VALUE).forEach { ageMs ->
        assertEquals(70, now.since(TopicWatermark(5, 5, ageMs, asOfWallClockMs = 99_400).delayedBy(70, now).asOf(now)))
    }

    @Test
    fun `takeovers are staggered and the last one is within the shortest drain time`() {
        val ages = (0..40).map { takeoverAgeMs(1_000, it) }

        assertEquals(ages.sorted(), ages)
        assertTrue(ages[1] < ages[2], "the router of rank 2 must wait for the watermark of the router of rank 1")
        assertTrue(ages.last() <= 2_000, "the last takeover must come within 2,000 ms, found ${ages.last()}")
    }
}
