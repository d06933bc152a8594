package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.BadReason
import corneltrack.policy.rollout.RolloutOrder
import corneltrack.policy.rollout.RolloutPhase
import corneltrack.policy.rollout.RolloutStatus
import corneltrack.policy.rollout.TrialShare
import corneltrack.policy.rollout.Verdict
import corneltrack.world.PoolId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val ORDER_ID = 7L
private const val DURATION_MS = 10_000L
private const val QUIET_MS = 1_000L
private val LISTED = setOf("v1", "v2")

class PoolRolloutTest {
    private val pool = PoolId("services")
    private val order = RolloutOrder(pool, "v2", DURATION_MS, ORDER_ID)
    private val trial = OrderTrial(order, TrialShare(), seenMs = 0)
    private val rollout = PoolRollout(pool).also { it.onOrder(trial, wallClockMs = 0) }

    @Test
    fun `a shift uses the baseline only until nothing has needed it for a while`() {
        read(RolloutPhase.SHIFTING, nowMs = 0)
        rollout.onInFlight("v1", 1, nowMs = 100)
        assertEquals(setOf("v2"), rollout.inForce(LISTED).regular)
        assertEquals(setOf("v1"), rollout.spare(LISTED))

        rollout.closeBaseline(nowMs = 100 + QUIET_MS, wallClockMs = 0)
        assertEquals(setOf("v1"), rollout.spare(LISTED), "a request runs there")
        rollout.onInFlight("v1", -1, nowMs = 200)
        assertEquals(1, rollout.oldRequests, "the router may send more")
        rollout.closeBaseline(nowMs = 100 + QUIET_MS, wallClockMs = 0)

        assertEquals(emptySet(), rollout.spare(LISTED))
        assertEquals(0, rollout.oldRequests)
    }

    // Guards against a good version that is late because a target short of room keeps the baseline open.
    @Test
    fun `the baseline closes at the deadline`() {
        read(RolloutPhase.SHIFTING, nowMs = 0)
        rollout.onInFlight("v1", 1, nowMs = 1)
        rollout.closeBaseline(nowMs = 2, wallClockMs = DURATION_MS)

        assertEquals(emptySet(), rollout.spare(LISTED))
        assertEquals(1, rollout.oldRequests)
    }

    // Guards against a request to an old endpoint that the platform has been told to stop.
    @Test
    fun `a router that starts during a shift never uses the baseline`() {
        rollout.onStatus(status(RolloutPhase.SHIFTING), starting = true, nowMs = 0)

        assertEquals(emptySet(), rollout.spare(LISTED))
        assertEquals(0, rollout.oldRequests)
    }

    @Test
    fun `a bad verdict returns a trial and a shift to the baseline but not a completed order`() {
        trial.onVerdict(Verdict.Bad(BadReason.FAILURES), wallClockMs = 1)

        read(RolloutPhase.TRIAL)
        assertEquals(setOf("v1"), rollout.inForce(LISTED).regular)
        assertEquals(null, rollout.inForce(LISTED).trial)
        read(RolloutPhase.SHIFTING)
        assertEquals(setOf("v1"), rollout.inForce(LISTED).regular)
        read(RolloutPhase.COMPLETED)
        assertEquals(setOf("v2"), rollout.inForce(LISTED).regular)
    }

    @Test
    fun `a bad verdict is final and keeps its time`() {
        assertTrue(trial.onVerdict(Verdict.Good, wallClockMs = 1))
        assertTrue(trial.onVerdict(Verdict.Bad(BadReason.FAILURES), wallClockMs = 2))
        assertFalse(trial.onVerdict(Verdict.Good, wallClockMs = 3))
        assertFalse(trial.onVerdict(Verdict.Bad(BadReason.BAD_RESPONSES), wallClockMs = 4))

        assertEquals(2L, trial.badSinceMs)
    }

    @Test
    fun `a newer order begins anew and leaves the target before it out of force`() {
        read(RolloutPhase.TRIAL)
        rollout.onOrder(OrderTrial(RolloutOrder(pool, "v3", DURATION_MS, ORDER_ID + 1), TrialShare(), 0), 0)

        assertEquals(setOf("v1"), rollout.inForce(LISTED + "v3").regular)
        assertTrue(rollout.open)
    }

    private fun read(phase: RolloutPhase, nowMs: Long = 0) =
        rollout.onStatus(status(phase), starting = false, nowMs = nowMs)

    private fun status(phase: RolloutPhase) = RolloutStatus(ORDER_ID, "v2", "v1", phase, 0, "other")
}
