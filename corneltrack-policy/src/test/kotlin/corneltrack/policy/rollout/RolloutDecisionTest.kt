package corneltrack.policy.rollout

import corneltrack.world.InstanceId
import corneltrack.world.PoolId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class RolloutDecisionTest {
    private val order = RolloutOrder(PoolId("p"), "v2", durationMs = 12_000, orderId = 7)
    private val self = ShiftReport(7, RolloutPhase.SHIFTING, oldRequests = 0, silentMs = 0)
    private val bad = Verdict.Bad(BadReason.FAILURES)
    private val view = RolloutView(
        instance = InstanceId("a"),
        rank = 0,
        order = order,
        orderSeenMs = STARTED_MS,
        status = null,
        baseline = "v1",
        targetEndpoints = 3,
        verdict = Verdict.Undecided,
        badSinceMs = null,
        shifts = listOf(self),
        schedule = RolloutSchedule(drainMs = 2_000, longestResponseMs = 6_000),
    )

    private fun status(phase: RolloutPhase, orderId: Long = 7, decidedBy: String = "a") =
        RolloutStatus(orderId, "v2", "v1", phase, STARTED_MS, decidedBy)

    private fun phase(view: RolloutView, afterMs: Long): RolloutPhase? =
        (decideRolloutStep(view, STARTED_MS + afterMs) as? RolloutStep.Write)?.status?.phase

    private fun trial(verdict: Verdict) = view.copy(status = status(RolloutPhase.TRIAL), verdict = verdict)

    private fun shifting(vararg shifts: ShiftReport) =
        view.copy(status = status(RolloutPhase.SHIFTING), verdict = Verdict.Good, shifts = listOf(self) + shifts)

    @Test
    fun `the first router begins the trial as of the time at which it saw the order`() {
        val step = assertIs<RolloutStep.Write>(decideRolloutStep(view, STARTED_MS + 900))
        assertEquals(status(RolloutPhase.TRIAL), step.status)
        assertEquals(RolloutStep.Wait, decideRolloutStep(view.copy(rank = 1), STARTED_MS + 900))
    }

    @Test
    fun `an order for the version in force completes at once`() {
        assertEquals(RolloutPhase.COMPLETED, phase(view.copy(baseline = "v2"), 0))
    }

    @Test
    fun `a good version shifts when the time has come and not before`() {
        assertEquals(null, phase(trial(Verdict.Good), 7_999))
        assertEquals(RolloutPhase.SHIFTING, phase(trial(Verdict.Good), 8_000))
        assertEquals(null, phase(trial(Verdict.Good).copy(rank = 1), 8_000))
    }

    @Test
    fun `no version shifts before six tenths of the duration`() {
        val slow = RolloutSchedule(drainMs = 9_000, longestResponseMs = 9_000)
        assertEquals(7_200, slow.shiftAfterMs(12_000))
    }

    @Test
    fun `an undecided version is rolled back at the deadline`() {
        assertEquals(null, phase(trial(Verdict.Undecided), 11_999))
        assertEquals(RolloutPhase.ROLLED_BACK, phase(trial(Verdict.Undecided), 12_000))
    }

    @Test
    fun `an order shorter than its responses waits for them and completes late`() {
        val short = order.copy(durationMs = 1_000)
        assertEquals(null, phase(trial(Verdict.Undecided).copy(order = short), 5_999))
        assertEquals(RolloutPhase.SHIFTING, phase(trial(Verdict.Good).copy(order = short), 5_999))
        assertEquals(RolloutPhase.ROLLED_BACK, phase(trial(Verdict.Undecided).copy(order = short), 6_000))
    }

    @Test
    fun `a version without endpoints waits until the deadline`() {
        val none = trial(Verdict.Good).copy(targetEndpoints = 0)
        assertEquals(null, phase(none, 11_999))
        assertEquals(RolloutPhase.ROLLED_BACK, phase(none, 12_000))
        assertEquals(null, phase(none.copy(targetEndpoints = null), 12_000))
        assertEquals(RolloutPhase.ROLLED_BACK, phase(shifting().copy(targetEndpoints = 0), 9_000))
    }

    @Test
    fun `any router rolls a bad version back, the later ones with a delay`() {
        val seen = trial(bad).copy(badSinceMs = STARTED_MS + 1_000)
        assertEquals(RolloutPhase.ROLLED_BACK, phase(seen, 1_000))
        assertEquals(null, phase(seen.copy(rank = 1), 1_299))
        assertEquals(RolloutPhase.ROLLED_BACK, phase(seen.copy(rank = 1), 1_300))
        assertEquals(RolloutPhase.ROLLED_BACK, phase(seen.copy(rank = 90), 2_800))
        assertEquals(RolloutPhase.ROLLED_BACK, phase(shifting().copy(verdict = bad), 9_000))
    }

    @Test
    fun `a shift completes when no router has requests at old endpoints`() {
        assertEquals(RolloutPhase.COMPLETED, phase(shifting(self), 9_000))
        assertEquals(null, phase(shifting(self.copy(oldRequests = 1)), 9_000))
        assertEquals(null, phase(shifting(self.copy(phase = RolloutPhase.TRIAL)), 9_000))
        assertEquals(null, phase(shifting(self.copy(orderId = 6)), 9_000))
    }

    @Test
    fun `a shift waits for requests at old endpoints beyond the deadline`() {
        assertEquals(null, phase(shifting(self.copy(oldRequests = 1)), 30_000))
    }

    @Test
    fun `a peer that is silent for the longest response holds nothing up`() {
        val silent = self.copy(phase = RolloutPhase.TRIAL, oldRequests = 4, silentMs = 6_000)
        assertEquals(null, phase(shifting(silent), 9_000))
        assertEquals(RolloutPhase.COMPLETED, phase(shifting(silent.copy(silentMs = 6_001)), 9_000))
    }

    @Test
    fun `an ended order stays as it is`() {
        for (ended in listOf(RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)) {
            val view = view.copy(status = status(ended), verdict = bad)
            assertEquals(null, phase(view, 9_000))
            assertEquals(null, phase(view.copy(order = null), 9_000))
        }
    }

    @Test
    fun `a removed order is rolled back`() {
        assertEquals(RolloutPhase.ROLLED_BACK, phase(trial(Verdict.Good).copy(order = null), 9_000))
        assertEquals(RolloutPhase.ROLLED_BACK, phase(shifting().copy(order = null), 9_000))
        assertEquals(null, phase(view.copy(order = null), 9_000))
    }

    @Test
    fun `a newer order replaces the one before`() {
        val newer = trial(bad).copy(order = order.copy(target = "v3", orderId = 9))
        val step = assertIs<RolloutStep.Write>(decideRolloutStep(newer, STARTED_MS))
        assertEquals(status(RolloutPhase.TRIAL, orderId = 9).copy(target = "v3"), step.status)
    }

    /** A router that reads the operators' topic late must not begin an earlier order again. */
    @Test
    fun `a status of a newer order stops a router that knows an older one`() {
        val view = view.copy(status = status(RolloutPhase.ROLLED_BACK, orderId = 9), verdict = bad)
        assertEquals(null, phase(view, 9_000))
    }

    private companion object {
        const val STARTED_MS = 1_700_000_000_000L
    }
}
