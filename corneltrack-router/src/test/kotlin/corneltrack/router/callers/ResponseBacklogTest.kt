package corneltrack.router.callers

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against callers that read so slowly that their endpoints or this router hold their responses for long. */
class ResponseBacklogTest {
    private val backlog = ResponseBacklog { it < 100_000 }

    @Test
    fun `a response is resumed once the caller has read enough`() {
        backlog.onQueued(150_000)
        assertFalse(backlog.mayContinue(150_000))

        assertEquals(BacklogStep.WAIT, backlog.check(120_000, nowMs = 0))
        assertEquals(BacklogStep.RESUME, backlog.check(90_000, nowMs = 100))
        assertEquals(BacklogStep.WAIT, backlog.check(50_000, nowMs = 200))
    }

    @Test
    fun `a caller for which its endpoint has waited three seconds is cut off`() {
        backlog.onQueued(150_000)
        backlog.mayContinue(150_000)

        assertEquals(BacklogStep.WAIT, backlog.check(150_000, nowMs = 1_000))
        assertEquals(BacklogStep.WAIT, backlog.check(149_000, nowMs = 3_900))
        assertEquals(BacklogStep.CUT, backlog.check(148_000, nowMs = 4_000))
    }

    @Test
    fun `a slow caller whose whole response waits is cut off only if it reads nothing for a minute`() {
        backlog.onQueued(90_000)
        assertTrue(backlog.mayContinue(90_000))

        assertEquals(BacklogStep.WAIT, backlog.check(90_000, nowMs = 0))
        assertEquals(BacklogStep.WAIT, backlog.check(89_000, nowMs = 50_000))
        assertEquals(BacklogStep.WAIT, backlog.check(89_000, nowMs = 109_900))
        assertEquals(BacklogStep.CUT, backlog.check(89_000, nowMs = 110_000))
    }

    @Test
    fun `a caller is slow if what waits takes it more than a second`() {
        backlog.onQueued(90_000)
        backlog.check(90_000, nowMs = 0)
        assertFalse(backlog.slow)
        backlog.check(85_000, nowMs = 1_000)
        assertTrue(backlog.slow, "read 5,000 of 90,000 bytes in a second")

        backlog.check(40_000, nowMs = 2_000)

        assertFalse(backlog.slow, "read 45,000 bytes in a second, and 40,000 wait")
    }

    @Test
    fun `an idle time between two responses is no slow reading`() {
        backlog.onQueued(1_000)
        backlog.check(0, nowMs = 0)
        backlog.check(0, nowMs = 100_000)
        backlog.onQueued(1_000)

        assertEquals(BacklogStep.WAIT, backlog.check(1_000, nowMs = 200_000))
        assertFalse(backlog.slow)
    }
}
