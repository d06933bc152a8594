package corneltrack.policy.discovery

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SuspensionDetectorTest {
    private val detector = SuspensionDetector()

    @Test
    fun `after a suspension the clocks count as settled after a while`() {
        assertTrue(detector.isSettled(ClockReading(1_000, 50_000)))
        assertTrue(detector.isSettled(ClockReading(1_100, 50_110)))

        assertFalse(detector.isSettled(ClockReading(1_150, 54_150)))
        assertFalse(detector.isSettled(ClockReading(2_100, 55_100)))
        assertTrue(detector.isSettled(ClockReading(2_200, 55_200)))
    }

    @Test
    fun `a wall clock set back counts as a jump`() {
        detector.isSettled(ClockReading(1_000, 50_000))

        assertFalse(detector.isSettled(ClockReading(1_100, 48_000)))
    }

    // Guards against messages that waited through a pause of the process and are taken for new ones.
    @Test
    fun `after a pause of the process, in which both clocks advance, they count as settled after a while`() {
        assertTrue(detector.isSettled(ClockReading(1_000, 50_000)))

        assertFalse(detector.isSettled(ClockReading(6_000, 55_000)))
        assertTrue(detector.isSettled(ClockReading(7_100, 56_100)))
    }
}
