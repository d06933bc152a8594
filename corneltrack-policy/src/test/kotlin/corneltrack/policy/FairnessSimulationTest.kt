package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.DataCentreId
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.Pool
import corneltrack.world.PoolId
import corneltrack.world.PoolKind
import corneltrack.world.Terms
import corneltrack.world.WorkspaceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Simulates three routers and one allocator on a virtual clock, with workspaces that always have waiting requests. */
class FairnessSimulationTest {
    @Test
    fun `the difference in service between backlogged workspaces stays bounded for any length of the run`() {
        repeat(SEEDS) { seed ->
            val simulation = Simulation(seed)
            simulation.run(WARM_UP_STEPS)
            val range = simulation.serviceDifferenceRange(STEPS)
            assertTrue(range <= BOUND, "seed $seed: range $range, bound $BOUND")
        }
    }

    @Test
    fun `a workspace that floods a queue does not change the shares of others`() {
        repeat(SEEDS) { seed ->
            val simulation = Simulation(seed, flood = 5_000)
            simulation.run(WARM_UP_STEPS)
            val range = simulation.serviceDifferenceRange(STEPS)
            assertTrue(range <= BOUND, "seed $seed: range $range, bound $BOUND")
        }
    }

    private companion object {
        const val SEEDS = 10
        const val ROUTERS = 3
        const val SLOTS = 8
        const val STEP_MS = 20L
        const val REPORT_STEPS = 12
        const val WARM_UP_STEPS = 1_500
        const val STEPS = 9_000
        const val MAXIMUM_COST = 100L

        /** The cost of two requests of maximum cost for each router. */
        const val BOUND = 2 * MAXIMUM_COST * ROUTERS
        val cell = Cell(PoolId("p"), DataCentreId("d"))
        val pool = Pool(PoolId("p"), PoolKind.MODEL, coldLimit = SLOTS, endpointLimit = SLOTS)
        val endpoints = setOf(EndpointId("e1"), EndpointId("e2"), EndpointId("e3"))
        val homeGroup = (0 until ROUTERS).mapTo(HashSet()) { InstanceId("r$it") }
    }

    private class Running(val workspace: WorkspaceId, val endpoint: EndpointId, val cost: Long, val estimate: Long) {
        var served = 0L
    }

    private class Router(val id: InstanceId, val waiting: Map<WorkspaceId, Int>) {
        val support = Support(LeaseTimes(), 0)
        val running = mutableListOf<Running>()
        val charged = HashMap<WorkspaceId, Long>()
        val virtualService = HashMap<WorkspaceId, Long>()
        var slots = emptyMap<EndpointId, Int>()
        var acknowledged = 0L
        var token: Long? = null

        fun charge(workspace: WorkspaceId, cost: Long) {
            charged.merge(workspace, cost, Long::plus)
            virtualService.merge(workspace, cost, Long::plus)
        }
    }

    /**
     * The first workspace has requests at all routers, the next four at the first router only, the others at one each.
     *
     * @param flood the number of waiting requests of the first workspace at each router; the others have 50.
     */
    private class Simulation(seed: Int, flood: Int = 50) {
        private val random = Random(seed)
        private val allocator = CellAllocator(cell, LeaseTimes(), 0) { Terms() }
        private val workspaces = (0 until 8).map { WorkspaceId("w$it") }
        private val served = HashMap<WorkspaceId, Long>()
        private var stepCount = 0
        private val routers = (0 until ROUTERS).map { index ->
            val waiting = workspaces.filterIndexed { number, _ ->
                number == 0 || number in 1..4 && index == 0 || number > 4 && number % ROUTERS == index
            }
            Router(InstanceId("r$index"), waiting.associateWith { if (it == workspaces[0]) flood else 50 })
        }

        fun run(steps: Int) = repeat(steps) { step() }

        fun serviceDifferenceRange(steps: Int): Long {
            val minimum = HashMap<Pair<WorkspaceId, WorkspaceId>, Long>()
            val maximum = HashMap<Pair<WorkspaceId, WorkspaceId>, Long>()
            repeat(steps) {
                step()
                workspaces.forEach { one ->
                    workspaces.filter { it > one }.forEach { other ->
                        val difference = (served[one] ?: 0) - (served[other] ?: 0)
                        minimum.merge(one to other, difference, ::minOf)
                        maximum.merge(one to other, difference, ::maxOf)
                    }
                }
            }
            return maximum.maxOf { (pair, value) -> value - minimum.getValue(pair) }
        }

        private fun step() {
            stepCount++
            val nowMs = stepCount * STEP_MS
            routers.forEachIndexed { index, router ->
                serve(router)
                start(router)
                if (stepCount % REPORT_STEPS == index) exchange(router, nowMs)
            }
        }

        /** Each running request is served one unit of cost per step. */
        private fun serve(router: Router) {
            router.running.forEach {
                it.served++
                served.merge(it.workspace, 1, Long::plus)
            }
            router.running.filter { it.served >= it.cost }
                .forEach { router.charge(it.workspace, it.cost - it.estimate) }
            router.running.removeIf { it.served >= it.cost }
        }

        private fun start(router: Router) = router.slots.forEach { (endpoint, lent) ->
            while (router.running.count { it.endpoint == endpoint } < lent) {
                val workspace = router.waiting.keys.minWith(compareBy({ router.virtualService[it] ?: 0 }, { it }))
                router.running += Running(workspace, endpoint, random.nextLong(10, MAXIMUM_COST + 1), estimate = 55)
                router.charge(workspace, 55)
            }
        }

        private fun exchange(router: Router, nowMs: Long) {
            val allocatorId = InstanceId("r0")
            val supports = router.support.allows(allocatorId, nowMs)
            if (supports) router.support.extend(allocatorId, nowMs)
            allocator.onView(CellView(pool, homeGroup, endpoints, endpoints), nowMs)
            val reports = router.waiting.map { (workspace, waiting) ->
                val running = router.running.count { it.workspace == workspace }
                WorkspaceReport(workspace, waiting, running, router.charged[workspace] ?: 0, 1_000)
            }
            val running = router.running.groupingBy { it.endpoint }.eachCount()
            val report = CellReport(cell, supports, router.acknowledged, running, reports, meanCost = 55)
            val grant = allocator.exchange(router.id, "one", router.token, report, nowMs)
            router.token = nowMs
            router.acknowledged = grant.sequence
            if (grant.leaseMs > 0) router.slots = grant.slots
            router.virtualService.putAll(grant.virtualService)
        }
    }
}
