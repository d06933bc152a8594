package corneltrack.policy.rollout

import corneltrack.world.PoolId
import kotlin.test.Test
import kotlin.test.assertEquals

class VersionsInForceTest {
    private val order = RolloutOrder(PoolId("p"), "v2", durationMs = 12_000, orderId = 7)
    private val listed = setOf("v1", "v2", "v3")

    private fun status(phase: RolloutPhase, orderId: Long = 7, target: String = "v2", baseline: String = "v1") =
        RolloutStatus(orderId, target, baseline, phase, startedWallClockMs = 0, decidedBy = "a")

    private fun versions(
        order: RolloutOrder?,
        status: RolloutStatus?,
        stopped: Boolean = false,
        listed: Set<String> = this.listed,
    ) = versionsInForce(listed, order, status, stopped)

    @Test
    fun `all versions are in force without orders`() {
        assertEquals(VersionsInForce(listed), versions(null, null))
    }

    @Test
    fun `the target of an order gets nothing before its status is read`() {
        assertEquals(VersionsInForce(setOf("v1", "v3")), versions(order, null))
    }

    /** Such a pool would otherwise refuse every request until the order is completed. */
    @Test
    fun `a target that is the only version stays in force`() {
        assertEquals(VersionsInForce(setOf("v2")), versions(order, null, listed = setOf("v2")))
        assertEquals("v2", baselineOf(setOf("v2"), order, null))
    }

    @Test
    fun `a trial sends to the baseline and a share to the target`() {
        assertEquals(VersionsInForce(setOf("v1"), trial = "v2"), versions(order, status(RolloutPhase.TRIAL)))
    }

    @Test
    fun `a bad verdict stops the target before the store knows`() {
        assertEquals(VersionsInForce(setOf("v1")), versions(order, status(RolloutPhase.TRIAL), stopped = true))
        assertEquals(VersionsInForce(setOf("v1")), versions(order, status(RolloutPhase.SHIFTING), stopped = true))
    }

    /** The platform has stopped the old endpoints by then. */
    @Test
    fun `a late bad verdict does not send requests back after completion`() {
        assertEquals(VersionsInForce(setOf("v2")), versions(order, status(RolloutPhase.COMPLETED), stopped = true))
    }

    @Test
    fun `the target alone is in force from the shift on`() {
        assertEquals(VersionsInForce(setOf("v2")), versions(order, status(RolloutPhase.SHIFTING)))
        assertEquals(VersionsInForce(setOf("v2")), versions(null, status(RolloutPhase.COMPLETED)))
    }

    @Test
    fun `the baseline is in force after a rollback and once an order is removed`() {
        assertEquals(VersionsInForce(setOf("v1")), versions(order, status(RolloutPhase.ROLLED_BACK)))
        assertEquals(VersionsInForce(setOf("v1")), versions(null, status(RolloutPhase.TRIAL)))
        assertEquals(VersionsInForce(setOf("v1")), versions(null, status(RolloutPhase.SHIFTING)))
    }

    @Test
    fun `a newer order takes the earlier target out of force unless it was completed`() {
        val newer = order.copy(target = "v3", orderId = 9)
        assertEquals(VersionsInForce(setOf("v1")), versions(newer, status(RolloutPhase.TRIAL)))
        assertEquals(VersionsInForce(setOf("v1")), versions(newer, status(RolloutPhase.SHIFTING)))
        assertEquals(VersionsInForce(setOf("v2")), versions(newer, status(RolloutPhase.COMPLETED)))
        assertEquals("v2", baselineOf(listed, newer, status(RolloutPhase.COMPLETED)))
    }

    @Test
    fun `endpoints without a single version stay in force beside the trial`() {
        val status = status(RolloutPhase.TRIAL, baseline = "")
        assertEquals(VersionsInForce(setOf("v1", "v3"), trial = "v2"), versions(order, status))
        assertEquals("", baselineOf(listed, order, null))
    }
}
