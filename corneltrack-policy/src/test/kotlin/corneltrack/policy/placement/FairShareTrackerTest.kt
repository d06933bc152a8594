package corneltrack.policy.placement

import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The rates of the first second are not known yet. */
private const val WARM_UP_MS = 1_000L

class FairShareTrackerTest {
    private val shares = FairShareTracker()
    private val large = WorkspaceId("large")
    private val small = WorkspaceId("small")

    @Test
    fun `nobody is past a share before anything was granted`() {
        shares.onRequested(large, 1_000, 0)

        assertEquals(0.0, shares.fairShareRatio(large, 0))
        assertEquals(0.0, shares.fairShareRatio(small, 200))
    }

    @Test
    fun `nobody is past a share while all that is asked is granted`() {
        ask(large, 10_000, 10_000)
        ask(small, 100, 100)

        assertEquals(0.0, shares.fairShareRatio(large, 0))
    }

    @Test
    fun `a workspace that asks for more than an even part stands above one that asks for less`() {
        ask(large, 100_000, 40_000)
        ask(small, 10_000, 10_000)

        assertTrue(shares.fairShareRatio(large, 0) > shares.fairShareRatio(small, 0))
        assertTrue(shares.fairShareRatio(small, 0) < 0.5, "found ${shares.fairShareRatio(small, 0)}")
    }

    @Test
    fun `what a workspace was granted at peers counts`() {
        ask(large, 50_000, 25_000)
        ask(small, 50_000, 25_000)
        val rates = mapOf(large to WorkspaceRate(50_000.0, 40_000.0))
        shares.onPeer(InstanceId("peer"), rates, 0)

        assertTrue(shares.fairShareRatio(large, 0) > 1.0)
        assertTrue(shares.fairShareRatio(small, 0) < 1.0)
    }

    @Test
    fun `the level is the max-min share of what is granted`() {
        val rates = listOf(WorkspaceRate(10.0, 10.0), WorkspaceRate(100.0, 40.0), WorkspaceRate(200.0, 40.0))

        assertEquals(40.0, maxMinFairShare(rates))
    }

    @Test
    fun `a load of one greedy and four modest workspaces is granted max-min`() {
        val modest = (1..4).map { WorkspaceId("modest-$it") }
        val granted = HashMap<WorkspaceId, Long>()
        for (nowMs in 0L until 20_000 step 100) {
            val grants = grants(List(30) { large } + modest, nowMs)
            if (nowMs >= WARM_UP_MS) grants.forEach { granted.merge(it, 100, Long::plus) }
        }

        modest.forEach { assertEquals(19_000L, granted[it], "$it asked for 19000 tokens and is under its share") }
    }

    /** Lets each of [asks] ask for 100 tokens of an engine that reads 1,000 at once, and returns who was granted. */
    private fun grants(asks: List<WorkspaceId>, nowMs: Long): List<WorkspaceId> {
        var taken = 0L
        return asks.filter { workspace ->
            shares.onRequested(workspace, 100, nowMs)
            val limits = admissionLimits(1_000, 0, shares.fairShareRatio(workspace, nowMs))
            val fits = taken < 1_000 && taken * 0.85 <= limits.waitLimitMs
            if (fits) {
                taken += 100
                shares.onGranted(workspace, 100, nowMs)
            }
            fits
        }
    }

    private fun ask(workspace: WorkspaceId, asked: Long, granted: Long) {
        shares.onRequested(workspace, asked, 0)
        shares.onGranted(workspace, granted, 0)
    }
}
