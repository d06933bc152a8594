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

/** Drives three routers and one allocator by a scripted clock with workspaces that are always backlogged. */
class FairnessScriptTest {
    @Test
    fun `the gap between any two backlogged workspaces stays bounded however long the run`() {
        repeat(SEEDS) { seed ->
            val script = Script(seed)
            script.run(WARM_UP_STEPS)
            val gap = script.gapDuring(STEPS)
            assertTrue(gap <= BOUND, "seed $seed: gap $gap, bound $BOUND")
        }
    }

    @Test
    fun `a workspace that floods moves nobody else's share`() {
        repeat(SEEDS) { seed ->
            val script = Script(seed, flood = 5_000)
            script.run(WARM_UP_STEPS)
            val gap = script.gapDuring(STEPS)
            assertTrue(gap <= BOUND, "seed $seed: gap $gap, bound $BOUND")
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
        const val LARGEST_COST = 100L

        /** Two of the largest requests for each router. */
        const val BOUND = 2 * LARGEST_COST * ROUTERS
        val cell = Cell(PoolId("p"), DataCentreId("d"))
        val pool = Pool(PoolId("p"), PoolKind.MODEL, coldLimit = SLOTS, endpointLimit = SLOTS)
        val endpoints = setOf(EndpointId("e1"), EndpointId("e2"), EndpointId("e3"))
        val homeGroup = (0 until ROUTERS).mapTo(HashSet()) { InstanceId("r$it") }
    }

    private class Running(val workspace: WorkspaceId, val endpoint: EndpointId, val cost: Long, val estimate: Long) {
        var served = 0L
    }

    private class Node(val id: InstanceId, val waiting: Map<WorkspaceId, Int>) {
        val support = Support(LeaseTimes(), 0)
        val running = mutableListOf<Running>()
        val charged = HashMap<WorkspaceId, Long>()
        val base = HashMap<WorkspaceId, Long>()
        var slots = emptyMap<EndpointId, Int>()
        var acknowledged = 0L
        var token: Long? = null

        fun charge(workspace: WorkspaceId, cost: Long) {
            charged.merge(workspace, cost, Long::plus)
            base.merge(workspace, cost, Long::plus)
        }
    }

    /** The first workspace waits at all routers, the next four at the first, the others at one router each. */
    private class Script(seed: Int, flood: Int = 50) {
        private val random = Random(seed)
        private val allocator = CellAllocator(cell, LeaseTimes(), 0) { Terms() }
        private val workspaces = (0 until 8).map { WorkspaceId("w$it") }
        private val served = HashMap<WorkspaceId, Long>()
        private var step = 0
        private val nodes = (0 until ROUTERS).map { index ->
            val at = workspaces.filterIndexed { number, _ ->
                number == 0 || number in 1..4 && index == 0 || number > 4 && number % ROUTERS == index
            }
            Node(InstanceId("r$index"), at.associateWith { if (it == workspaces[0]) flood else 50 })
        }

        fun run(steps: Int) = repeat(steps) { once() }

        fun gapDuring(steps: Int): Long {
            val low = HashMap<Pair<WorkspaceId, WorkspaceId>, Long>()
            val high = HashMap<Pair<WorkspaceId, WorkspaceId>, Long>()
            repeat(steps) {
                once()
                workspaces.forEach { one ->
                    workspaces.filter { it > one }.forEach { other ->
                        val difference = (served[one] ?: 0) - (served[other] ?: 0)
                        low.merge(one to other, difference, ::minOf)
                        high.merge(one to other, difference, ::maxOf)
                    }
                }
            }
            return high.maxOf { (pair, value) -> value - low.getValue(pair) }
        }

        private fun once() {
            step++
            val nowMs = step * STEP_MS
            nodes.forEachIndexed { index, node ->
                serve(node)
                start(node)
                if (step % REPORT_STEPS == index) exchange(node, nowMs)
            }
        }

        /** Each slot serves one unit of cost a step. */
        private fun serve(node: Node) {
            node.running.forEach {
                it.served++
                served.merge(it.workspace, 1, Long::plus)
            }
            node.running.filter { it.served >= it.cost }.forEach { node.charge(it.workspace, it.cost - it.estimate) }
            node.running.removeIf { it.served >= it.cost }
        }

        private fun start(node: Node) = node.slots.forEach { (endpoint, lent) ->
            while (node.running.count { it.endpoint == endpoint } < lent) {
                val workspace = node.waiting.keys.minWith(compareBy({ node.base[it] ?: 0 }, { it }))
                node.running += Running(workspace, endpoint, random.nextLong(10, LARGEST_COST + 1), estimate = 55)
                node.charge(workspace, 55)
            }
        }

        private fun exchange(node: Node, nowMs: Long) {
            val allocatorId = InstanceId("r0")
            val supports = node.support.allows(allocatorId, nowMs)
            if (supports) node.support.extend(allocatorId, nowMs)
            allocator.onView(CellView(pool, homeGroup, endpoints, endpoints), nowMs)
            val reports = node.waiting.map { (workspace, waiting) ->
                val running = node.running.count { it.workspace == workspace }
                WorkspaceReport(workspace, waiting, running, node.charged[workspace] ?: 0, 1_000)
            }
            val running = node.running.groupingBy { it.endpoint }.eachCount()
            val report = CellReport(cell, supports, node.acknowledged, running, reports, meanCost = 55)
            val grant = allocator.exchange(node.id, "one", node.token, report, nowMs)
            node.token = nowMs
            node.acknowledged = grant.sequence
            if (grant.leaseMs > 0) node.slots = grant.slots
            node.base.putAll(grant.virtualService)
        }
    }
}
