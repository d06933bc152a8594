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
    fun `takeovers are staggered and the last one is within the shortest drain time`() {
        val ages = (0..40).map { takeoverAgeMs(1_000, it) }

        assertEquals(ages.sorted(), ages)
        assertTrue(ages[1] < ages[2], "the router of rank 2 must wait for the watermark of the router of rank 1")
        assertTrue(ages.last() <= 2_000, "the last takeover must come within 2,000 ms, found ${ages.last()}")
    }
}
