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

/** Drives routers and allocators of one cell by a scripted clock, with lost messages, partitions, restarts and lags. */
class AllocationScriptTest {
    @Test
    fun `no endpoint ever runs more than its limit, for any partition, pause, restart and lag of the list`() {
        ((0 until SEEDS) + PAST_FAILURES).forEach { seed -> Script(seed, routers = 3 + seed % 4).run() }
    }

    @Test
    fun `with everything connected all slots are used within a few lease times`() {
        repeat(SEEDS) { seed ->
            val script = Script(seed, routers = 3, faults = false)
            script.run()
            assertTrue(script.runningNow() >= LIMIT * ENDPOINTS - 1, "seed $seed runs ${script.runningNow()}")
        }
    }

    private companion object {
        /** The number of seeds; more are tried with `-Dcorneltrack.seeds=5000`. */
        val SEEDS: Int = Integer.getInteger("corneltrack.seeds", 240)

        /** Seeds that found an overrun once: restarted allocators, and loads compared with newer or stale counts. */
        val PAST_FAILURES = listOf(170, 514, 2_077, 2_137, 3_200)
        const val LIMIT = 6
        const val ENDPOINTS = 2
        const val STEPS = 1_500
        const val STEP_MS = 20L
        const val MESSAGE_LIMIT_MS = 1_000L
        val times = LeaseTimes()
        val cell = Cell(PoolId("p"), DataCentreId("d"))
        val pool = Pool(PoolId("p"), PoolKind.MODEL, coldLimit = LIMIT, endpointLimit = LIMIT)
        val endpoints = (1..ENDPOINTS).mapTo(HashSet()) { EndpointId("e$it") }
    }

    private class Running(val endpoint: EndpointId, val endsMs: Long)

    private class Link(var token: Long? = null, var acknowledged: Long = 0, var incarnation: Int = 0)

    private class Node(val id: InstanceId, startMs: Long, val incarnation: Int) {
        val support = Support(times, startMs)
        val allocator = CellAllocator(cell, times, startMs) { Terms() }
        val links = HashMap<InstanceId, Link>()
        val running = mutableListOf<Running>()
        var slots = emptyMap<EndpointId, Int>()
        var lender: InstanceId? = null
        var leaseUntilMs = 0L
        var pausedUntilMs = 0L
        var busyUntilMs = 0L
    }

    private class Sent(
        val node: Node,
        val target: InstanceId,
        val report: CellReport,
        val link: Link,
        val sentMs: Long,
    )

    private class Message(val atMs: Long, val deliver: (Long) -> Unit)

    private class Script(private val seed: Int, private val routers: Int, private val faults: Boolean = true) {
        private val random = Random(seed)
        private var nowMs = 0L
        private val nodes = (0 until routers).associate { index ->
            InstanceId("r$index").let { it to Node(it, 0, 0) }
        }.toMutableMap()
        private val messages = mutableListOf<Message>()
        private var group = nodes.keys.associateWith { 0 }
        private val listed = nodes.keys.toSet()

        fun runningNow(): Int = nodes.values.sumOf { it.running.size }

        fun run() = repeat(STEPS) {
            nowMs += STEP_MS
            if (faults) strike()
            messages.filter { it.atMs <= nowMs }.also { messages.removeAll(it) }.forEach { it.deliver(nowMs) }
            nodes.values.filter { it.pausedUntilMs <= nowMs }.forEach { step(it) }
            pollLoads()
            check()
        }

        /** Restarts kill the router's requests with it; partitions and pauses leave them running. */
        private fun strike() {
            when (random.nextInt(250)) {
                0 -> group = nodes.keys.associateWith { random.nextInt(3) }
                1, 2 -> group = nodes.keys.associateWith { 0 }
                3 -> nodes.values.random(random).pausedUntilMs = nowMs + random.nextLong(8_000)
                4 -> nodes.keys.random(random).let { nodes[it] = Node(it, nowMs, nodes.getValue(it).incarnation + 1) }
            }
        }

        private fun step(node: Node) {
            node.running.removeIf { it.endsMs <= nowMs }
            node.slots.filter { node.leaseUntilMs > nowMs }.forEach { (endpoint, lent) ->
                while (node.running.count { it.endpoint == endpoint } < lent) {
                    node.running += Running(endpoint, nowMs + random.nextLong(200, 3_000))
                }
            }
            if (nowMs >= node.busyUntilMs && random.nextInt(5) == 0) report(node)
        }

        private fun report(node: Node) {
            val reachable = listed.filter { group[it] == group[node.id] }
            val wanted = rendezvous("cell", reachable) { it.value } ?: return
            val supports = node.support.allows(wanted, nowMs)
            val former = node.support.current?.takeIf { it in reachable }
            val target = if (supports) wanted else former ?: wanted
            if (supports) node.support.extend(target, nowMs)
            val link = node.links.getOrPut(target) { Link() }
            val report = CellReport(
                cell = cell,
                supports = supports,
                acknowledged = link.acknowledged,
                running = node.running.groupingBy { it.endpoint }.eachCount(),
                workspaces = listOf(WorkspaceReport(WorkspaceId("w"), 50, node.running.size, 0)),
            )
            node.busyUntilMs = nowMs + MESSAGE_LIMIT_MS
            val sentMs = nowMs
            post(node.id, target) { arrivedMs -> serve(Sent(node, target, report, link, sentMs), arrivedMs) }
        }

        private fun serve(sent: Sent, arrivedMs: Long) = with(sent) {
            val server = nodes.getValue(target)
            if (server.pausedUntilMs > arrivedMs) return@with
            val token = link.token.takeIf { link.incarnation == server.incarnation }
            server.allocator.onView(CellView(pool, listed, endpoints, endpoints), arrivedMs)
            val grant = server.allocator.exchange(node.id, "${node.incarnation}", token, report, arrivedMs)
            post(target, node.id) { backMs ->
                if (nodes[node.id] !== node || backMs - sentMs >= MESSAGE_LIMIT_MS) return@post
                node.busyUntilMs = 0
                link.token = arrivedMs
                link.incarnation = server.incarnation
                val current = grant.sequence > link.acknowledged
                link.acknowledged = if (current) grant.sequence else 0
                if (current && grant.leaseMs > 0 && node.support.current == target) {
                    if (grant.leaseMs > 0) node.slots = grant.slots
                    node.leaseUntilMs = sentMs + grant.leaseMs
                }
            }
        }

        private fun post(from: InstanceId, to: InstanceId, deliver: (Long) -> Unit) {
            val lost = group[from] != group[to] || faults && random.nextInt(20) == 0
            if (!lost) {
                messages += Message(nowMs + random.nextLong(1, if (faults) 400 else 30), deliver)
            }
        }

        /** Every allocator that can reach the endpoints sees their load half a second late. */
        private fun pollLoads() {
            if (nowMs % 500 != 0L) return
            val loads = endpoints.associateWith { load(it) }
            nodes.values.forEach { node ->
                messages += Message(nowMs + 500) { atMs ->
                    loads.forEach { (endpoint, running) ->
                        val report = EndpointReport("one", running, cold = false, atMs = atMs)
                        node.allocator.onEndpointReport(endpoint, report, atMs)
                    }
                }
            }
        }

        private fun load(endpoint: EndpointId): Int =
            nodes.values.sumOf { node -> node.running.count { it.endpoint == endpoint && it.endsMs > nowMs } }

        private fun check() = endpoints.forEach { endpoint ->
            val running = load(endpoint)
            assertTrue(running <= LIMIT, "seed $seed at $nowMs ms: $running run on $endpoint, limit $LIMIT")
        }
    }
}
