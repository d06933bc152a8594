package corneltrack.policy.placement

import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The time after the start within which the rates are not yet representative, in ms. */
private const val WARM_UP_MS = 1_000L

class FairShareTrackerTest {
    private val tracker = FairShareTracker()
    private val large = WorkspaceId("large")
    private val small = WorkspaceId("small")

    @Test
    fun `the fair-share ratio is 0 before anything is granted`() {
        tracker.onRequested(large, 1_000, 0)

        assertEquals(0.0, tracker.fairShareRatio(large, 0))
        assertEquals(0.0, tracker.fairShareRatio(small, 200))
    }

    @Test
    fun `the fair-share ratio is 0 while all requested tokens are granted`() {
        record(large, 10_000, 10_000)
        record(small, 100, 100)

        assertEquals(0.0, tracker.fairShareRatio(large, 0))
    }

    @Test
    fun `a workspace that requests more than an equal share has a higher ratio than one that requests less`() {
        record(large, 100_000, 40_000)
        record(small, 10_000, 10_000)

        assertTrue(tracker.fairShareRatio(large, 0) > tracker.fairShareRatio(small, 0))
        assertTrue(tracker.fairShareRatio(small, 0) < 0.5, "expected < 0.5, found ${tracker.fairShareRatio(small, 0)}")
    }

    @Test
    fun `tokens granted by peers count`() {
        record(large, 50_000, 25_000)
        record(small, 50_000, 25_000)
        val rates = mapOf(large to WorkspaceRate(50_000.0, 40_000.0))
        tracker.onPeer(InstanceId("peer"), rates, 0)

        assertTrue(tracker.fairShareRatio(large, 0) > 1.0)
        assertTrue(tracker.fairShareRatio(small, 0) < 1.0)
    }

    @Test
    fun `the fair share is the max-min share of the granted tokens`() {
        val rates = listOf(WorkspaceRate(10.0, 10.0), WorkspaceRate(100.0, 40.0), WorkspaceRate(200.0, 40.0))

        assertEquals(40.0, maxMinFairShare(rates))
    }

    @Test
    fun `one greedy and four modest workspaces are granted max-min fair shares`() {
        val modest = (1..4).map { WorkspaceId("modest-$it") }
        val granted = HashMap<WorkspaceId, Long>()
        for (nowMs in 0L until 20_000 step 100) {
            val grants = grants(List(30) { large } + modest, nowMs)
            if (nowMs >= WARM_UP_MS) grants.forEach { granted.merge(it, 100, Long::plus) }
        }

        modest.forEach { assertEquals(19_000L, granted[it], "$it requested 19,000 tokens, below its fair share") }
    }

    @Test
    fun `a workspace that is granted less than its share is not held back however much it requests`() {
        record(large, 1_000_000, 50_000)
        reportPeer(large, WorkspaceRate(0.0, 0.0))
        reportPeer(small, WorkspaceRate(200_000.0, 100_000.0))

        assertTrue(tracker.fairShareRatio(large, 0) < 0.9, "found ${tracker.fairShareRatio(large, 0)}")
        assertTrue((1..100).all { tracker.tryAttempt(large, 1_000, 0) }, "expected all requests to be tried")
    }

    @Test
    fun `a workspace at its share whose flood has left another router may try what that one no longer tries`() {
        val triedAfterMove = triedAtItsShare(attemptedElsewhere = 20_000.0)
        val triedBeside = triedAtItsShare(attemptedElsewhere = 180_000.0)

        assertTrue(triedAfterMove > 2 * triedBeside, "found $triedAfterMove and $triedBeside requests tried")
    }

    @Test
    fun `a workspace at its share that requests many times as much is held back`() {
        val tried = triedAtItsShare(attemptedElsewhere = 180_000.0)

        assertTrue(tried in 1..100, "expected at most 100 of 1,000 requests to be tried, found $tried")
    }

    /** Returns how many of 1,000 requests in a second are tried while a peer requests and is granted as much. */
    private fun triedAtItsShare(attemptedElsewhere: Double): Int {
        val tracker = FairShareTracker()
        tracker.onPeer(InstanceId("left"), mapOf(large to WorkspaceRate(4_000_000.0, 100_000.0, attemptedElsewhere)), 0)
        tracker.onPeer(InstanceId("other"), mapOf(small to WorkspaceRate(500_000.0, 100_000.0)), 0)
        return (1L..1_000).count { nowMs ->
            tracker.onRequested(large, 1_000, nowMs)
            tracker.tryAttempt(large, 1_000, nowMs)
        }
    }

    private fun reportPeer(workspace: WorkspaceId, rate: WorkspaceRate) =
        tracker.onPeer(InstanceId("peer of ${workspace.value}"), mapOf(workspace to rate), 0)

    /**
     * Simulates an engine that prefills 1,000 tokens at once. Each of [requesters] requests 100 tokens.
     *
     * Returns the workspaces whose requests are granted.
     */
    private fun grants(requesters: List<WorkspaceId>, nowMs: Long): List<WorkspaceId> {
        var grantedTokens = 0L
        return requesters.filter { workspace ->
            tracker.onRequested(workspace, 100, nowMs)
            val limits = admissionLimits(1_000, 0, tracker.fairShareRatio(workspace, nowMs))
            val fits = grantedTokens < 1_000 && grantedTokens * 0.85 <= limits.waitLimitMs
            if (fits) grantedTokens += 100
            tracker.onAttempted(workspace, 100, fits, nowMs)
            fits
        }
    }

    private fun record(workspace: WorkspaceId, requested: Long, granted: Long) {
        tracker.onRequested(workspace, requested, 0)
        tracker.onAttempted(workspace, granted, granted = true, 0)
        tracker.onAttempted(workspace, requested - granted, granted = false, 0)
    }
}
