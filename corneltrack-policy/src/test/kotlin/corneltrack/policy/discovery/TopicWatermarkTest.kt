package corneltrack.policy.discovery

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TopicWatermarkTest {
    private val now = ClockReading(monotonicMs = 10_000, wallClockMs = 100_000)

    @Test
    fun `its age counts from its arrival`() =
        assertEquals(600, now.since(TopicWatermark(5, 5, ageMs = 600, asOfWallClockMs = 99_400).asOf(now)))

    @Test
    fun `one that was held up on its way is as old as the time of day says`() =
        assertEquals(3_000, now.since(TopicWatermark(5, 5, ageMs = 600, asOfWallClockMs = 97_000).asOf(now)))

    @Test
    fun `a sender whose clock is ahead does not make it younger`() =
        assertEquals(600, now.since(TopicWatermark(5, 5, ageMs = 600, asOfWallClockMs = 102_000).asOf(now)))

    @Test
    fun `turns are apart and end within the shortest drain bound`() {
        val patience = (0..40).map { takeoverAgeMs(1_000, it) }

        assertEquals(patience.sorted(), patience)
        assertTrue(patience[1] < patience[2], "the second router waits for the first one's watermark")
        assertTrue(patience.last() <= 2_000, "the last turn comes after ${patience.last()} ms")
    }
}
