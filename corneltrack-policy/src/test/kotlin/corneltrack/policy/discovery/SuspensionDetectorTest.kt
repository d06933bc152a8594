package corneltrack.policy.discovery

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SuspensionDetectorTest {
    private val watch = SuspensionDetector()

    @Test
    fun `after a suspension the clocks need a while to settle`() {
        assertTrue(watch.isSettled(ClockReading(1_000, 50_000)))
        assertTrue(watch.isSettled(ClockReading(1_100, 50_110)))

        assertFalse(watch.isSettled(ClockReading(1_150, 54_150)))
        assertFalse(watch.isSettled(ClockReading(2_100, 55_100)))
        assertTrue(watch.isSettled(ClockReading(2_200, 55_200)))
    }

    @Test
    fun `a time of day set back counts as well`() {
        watch.isSettled(ClockReading(1_000, 50_000))

        assertFalse(watch.isSettled(ClockReading(1_100, 48_000)))
    }
}
