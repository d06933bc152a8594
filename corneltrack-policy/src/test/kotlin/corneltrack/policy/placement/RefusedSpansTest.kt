package corneltrack.policy.placement

import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val STEP_MS = 100L
private const val TOKENS = 10_000L

class RefusedSpansTest {
    private val tracker = FairShareTracker()
    private val flooding = WorkspaceId("flooding")
    private val modest = WorkspaceId("modest")
    private var nowMs = 0L

    @Test
    fun `the span counts from when most requests of a workspace began to be refused`() {
        run(2_000) { request(flooding, granted = 9) }
        assertEquals(0, span(flooding), "while nine of ten requests are granted")

        run(4_000) { request(flooding, granted = 1) }
        assertTrue(span(flooding) in 2_000..4_000, "expected 2 to 4 seconds, found ${span(flooding)} ms")
    }

    @Test
    fun `the span of one workspace is not that of another`() {
        run(3_000) {
            request(flooding, granted = 1)
            request(modest, granted = 10)
        }

        assertEquals(0, span(modest), "all requests of the workspace are granted")
    }

    @Test
    fun `a router that a flood reaches late knows from its peers how long it has lasted`() {
        val rates = mapOf(flooding to WorkspaceRate(requested = 1_000_000.0, granted = 100_000.0))
        run(3_000) { tracker.onPeer(InstanceId("peer"), rates, nowMs) }

        assertTrue(span(flooding) >= 2_800, "expected about 3 seconds, found ${span(flooding)} ms")
    }

    @Test
    fun `the span ends with the refusals`() {
        run(4_000) { request(flooding, granted = 1) }
        run(4_000) { request(flooding, granted = 10) }

        assertEquals(0, span(flooding), "all requests have been granted for 4 seconds")
    }

    @Test
    fun `callers come back at once after a short overload, later after a long one, and not together`() {
        assertEquals(100, overloadRetryMs(refusedForMs = 0, random = 1.0))
        assertEquals(1_000, overloadRetryMs(refusedForMs = 2_000, random = 0.0))
        assertEquals(3_000, overloadRetryMs(refusedForMs = 2_000, random = 1.0))
        assertEquals(4_000, overloadRetryMs(refusedForMs = 60_000, random = 0.0))
    }

    private fun span(workspace: WorkspaceId) = tracker.view(nowMs).refusedSpans.spanMs(workspace, nowMs)

    /** Requests ten prompts of [workspace], of which the given number is granted. */
    private fun request(workspace: WorkspaceId, granted: Int) = repeat(10) { index ->
        tracker.onRequested(workspace, TOKENS, nowMs)
        if (index < granted) tracker.onAttempted(workspace, TOKENS, granted = true, nowMs)
    }

    private fun run(durationMs: Long, step: () -> Unit) = repeat((durationMs / STEP_MS).toInt()) {
        nowMs += STEP_MS
        step()
        tracker.view(nowMs)
    }
}
