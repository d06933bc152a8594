package corneltrack.policy.limits

import kotlin.test.Test
import kotlin.test.assertTrue

private const val ROUTERS = 11

/** The routers that may be out of rotation at once: a quarter, but always one. */
private const val MAXIMUM_OUT = 2

/** How long routers may act on beliefs that have just become wrong, in ms. */
private const val STALE_MS = 2_000L

class OverloadRotationFleetTest {
    private val flood = RotationFleetPlan(ROUTERS, flood = 2.0)
    private val overload = RotationFleetPlan(ROUTERS, usualLoad = 1.5)

    @Test
    fun `a flood that one router cannot serve spreads over several`() {
        val steps = RotationFleetModel(flood).play().filter { it.atMs > 5_000 }
        val served = steps.map { it.floodServed }.average()

        assertTrue(served > 1.1 * 0.7, "one router alone serves 0.7 of its capacity, found $served")
    }

    @Test
    fun `an overload of all routers empties no data centre`() = listOf(
        overload,
        overload.copy(digestMs = 1_200),
        overload.copy(cut = setOf(0, 3)),
        overload.copy(paused = setOf(1, 2)),
        overload.copy(killed = setOf(4, 5)),
        overload.copy(routers = 3),
        overload.copy(routers = 1),
    ).forEach { plan ->
        val steps = RotationFleetModel(plan).play()
        assertFewOut(plan, steps)
        val later = steps.filter { it.atMs > STALE_MS && it.outOfRotation.isNotEmpty() }
        assertTrue(later.isEmpty(), "$plan: routers out of rotation at ${later.map { it.atMs }}")
    }

    @Test
    fun `no more than a quarter of the routers leave whatever they hear of each other`() = listOf(
        flood,
        flood.copy(flood = 8.0),
        flood.copy(digestMs = 1_200),
        flood.copy(cut = setOf(0)),
        flood.copy(cut = setOf(0, 1, 2, 3)),
        flood.copy(paused = setOf(0, 1)),
        flood.copy(killed = setOf(0, 1, 2)),
        flood.copy(routers = 3),
        flood.copy(routers = 2),
    ).forEach { plan -> assertFewOut(plan, RotationFleetModel(plan).play()) }

    @Test
    fun `a router that hears nobody does not leave`() {
        val steps = RotationFleetModel(flood.copy(cut = setOf(0))).play()

        assertTrue(steps.none { 0 in it.outOfRotation }, "router 0 is cut off from its peers")
    }

    private fun assertFewOut(plan: RotationFleetPlan, steps: List<RotationStep>) {
        val most = steps.maxBy { it.outOfRotation.size }
        val allowed = if (plan.routers == ROUTERS) MAXIMUM_OUT else 1
        assertTrue(most.outOfRotation.size <= allowed, "$plan: found $most")
    }
}
