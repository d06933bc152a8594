package corneltrack.policy

import corneltrack.world.InstanceId
import corneltrack.world.Terms
import corneltrack.world.WorkspaceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FairDivisionTest {
    private val near = InstanceId("near")
    private val far = InstanceId("far")
    private val one = WorkspaceId("one")
    private val two = WorkspaceId("two")

    @Test
    fun `workspaces of equal weight get equal slots at any router`() {
        val demands = listOf(SlotDemand(one, near, 20, 0), SlotDemand(two, far, 20, 0))
        val division = divideSlots(10, demands, { 0.0 }, { Terms() })
        assertEquals(mapOf(near to 5, far to 5), division.targets)
    }

    @Test
    fun `slots are proportional to weights`() {
        val demands = listOf(SlotDemand(one, near, 20, 0), SlotDemand(two, far, 20, 0))
        val division = divideSlots(9, demands, { 0.0 }, { Terms(weight = if (it == one) 2.0 else 1.0, cap = 1.0) })
        assertEquals(mapOf(near to 6, far to 3), division.targets)
    }

    @Test
    fun `the cap applies only to slots that another workspace can use`() {
        val terms = { _: WorkspaceId -> Terms(cap = 0.5) }
        val contended = listOf(SlotDemand(one, near, 20, 0), SlotDemand(two, far, 20, 0))
        val virtualService = { workspace: WorkspaceId -> if (workspace == one) 0.0 else 1_000.0 }
        assertEquals(mapOf(near to 5, far to 5), divideSlots(10, contended, virtualService, terms).targets)
        val uncontended = listOf(SlotDemand(one, near, 20, 0), SlotDemand(two, far, 1, 0))
        assertEquals(mapOf(near to 9, far to 1), divideSlots(10, uncontended, virtualService, terms).targets)
    }

    @Test
    fun `a workspace with less virtual service gets more slots`() {
        val demands = listOf(SlotDemand(one, near, 20, 0), SlotDemand(two, far, 20, 0))
        val division = divideSlots(10, demands, { if (it == one) 4.0 else 0.0 }, { Terms(cap = 1.0) })
        assertEquals(mapOf(near to 3, far to 7), division.targets)
    }

    @Test
    fun `slots held in other cells count towards the share of a workspace`() {
        val demands = listOf(SlotDemand(one, near, 20, 0), SlotDemand(two, far, 20, 0))
        val division = divideSlots(10, demands, { 0.0 }, { Terms(cap = 1.0) }, runningInOtherCells = mapOf(one to 4))
        assertEquals(mapOf(near to 3, far to 7), division.targets)
    }

    @Test
    fun `no slot is idle while requests wait, for random demand`() {
        repeat(RUNS) { seed ->
            val random = Random(seed)
            val demands = (0 until random.nextInt(1, 30)).map {
                SlotDemand(
                    WorkspaceId("w${random.nextInt(8)}"),
                    InstanceId("r${random.nextInt(5)}"),
                    random.nextInt(6),
                    random.nextInt(3),
                    local = random.nextBoolean(),
                )
            }
            val slots = random.nextInt(40)
            val terms = { workspace: WorkspaceId -> Terms(1.0 + workspace.value.length, 0.3) }
            val served = (0 until 8).associate { WorkspaceId("w$it") to random.nextDouble(5.0) }
            val division = divideSlots(slots, demands, { served.getValue(it) }, terms)
            val wanted = demands.sumOf { it.waiting + it.running }
            val assigned = division.targets.values.sum()
            assertEquals(minOf(slots, wanted), assigned, "seed $seed")
            assertEquals(slots - assigned, division.spare, "seed $seed")
        }
    }

    @Test
    fun `a router with an overdue request gets a slot before one with a long queue`() {
        val demands = listOf(
            SlotDemand(one, near, 1_000, 2),
            SlotDemand(one, far, 1, 0, oldestWaitMs = 10_000),
        )
        val division = divideSlots(2, demands, { 0.0 }, { Terms() })
        assertTrue((division.targets[far] ?: 0) == 1, "targets ${division.targets}")
    }

    @Test
    fun `remote demand has a penalty until its requests have waited much longer than local ones`() {
        fun targetsAfter(remoteWaitMs: Long): Map<InstanceId, Int> {
            val demands = listOf(
                SlotDemand(one, near, 20, 0, oldestWaitMs = 1_000),
                SlotDemand(one, far, 20, 0, remoteWaitMs, local = false),
            )
            return divideSlots(4, demands, { 0.0 }, { Terms() }).targets
        }
        assertEquals(mapOf(near to 4), targetsAfter(remoteWaitMs = 4_000))
        assertEquals(mapOf(near to 2, far to 2), targetsAfter(remoteWaitMs = 4_001))
    }

    private companion object {
        const val RUNS = 500
    }
}
