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

/**
 * Simulates the routers and allocators of one cell on a virtual clock.
 *
 * Faults are lost and delayed messages, network partitions, paused routers, restarts and lagging reports of load.
 */
class AllocationSimulationTest {
    @Test
    fun `no endpoint exceeds its limit under partitions, pauses, restarts and lagging reports`() {
        ((0 until SEEDS) + REGRESSION_SEEDS).forEach { seed -> Simulation(seed, routerCount = 3 + seed % 4).run() }
    }

    @Test
    fun `without faults all slots are used within a few lease times`() {
        repeat(SEEDS) { seed ->
            val simulation = Simulation(seed, routerCount = 3, faults = false)
            simulation.run()
            assertTrue(simulation.running() >= LIMIT * ENDPOINTS - 1, "seed $seed: ${simulation.running()} running")
        }
    }

    private companion object {
        /** The number of seeds; `-Dcorneltrack.seeds=5000` runs more. */
        val SEEDS: Int = Integer.getInteger("corneltrack.seeds", 240)

        /**
         * Seeds that once exceeded a limit, because an allocator had restarted or because a reported load was compared
         * with newer or stale counts of requests.
         */
        val REGRESSION_SEEDS = listOf(170, 514, 2_077, 2_137, 3_200)
        const val LIMIT = 6
        const val ENDPOINTS = 2
        const val STEPS = 1_500
        const val STEP_MS = 20L
        const val MESSAGE_TIMEOUT_MS = 1_000L
        val times = LeaseTimes()
        val cell = Cell(PoolId("p"), DataCentreId("d"))
        val pool = Pool(PoolId("p"), PoolKind.MODEL, coldLimit = LIMIT, endpointLimit = LIMIT)
        val endpoints = (1..ENDPOINTS).mapTo(HashSet()) { EndpointId("e$it") }
    }

    private class Running(val endpoint: EndpointId, val endsMs: Long)

    private class AllocatorLink(var token: Long? = null, var acknowledged: Long = 0, var incarnation: Int = 0)

    private class Router(val id: InstanceId, startMs: Long, val incarnation: Int) {
        val support = Support(times, startMs)
        val allocator = CellAllocator(cell, times, startMs) { Terms() }
        val links = HashMap<InstanceId, AllocatorLink>()
        val running = mutableListOf<Running>()
        var slots = emptyMap<EndpointId, Int>()
        var lender: InstanceId? = null
        var leaseUntilMs = 0L
        var pausedUntilMs = 0L
        var busyUntilMs = 0L
    }

    private class SentReport(
        val router: Router,
        val target: InstanceId,
        val report: CellReport,
        val link: AllocatorLink,
        val sentMs: Long,
    )

    private class Message(val atMs: Long, val deliver: (Long) -> Unit)

    private class Simulation(private val seed: Int, private val routerCount: Int, private val faults: Boolean = true) {
        private val random = Random(seed)
        private var nowMs = 0L
        private val routers = (0 until routerCount).associate { index ->
            InstanceId("r$index").let { it to Router(it, 0, 0) }
        }.toMutableMap()
        private val messages = mutableListOf<Message>()
        private var partitions = routers.keys.associateWith { 0 }
        private val listed = routers.keys.toSet()

        fun running(): Int = routers.values.sumOf { it.running.size }

        fun run() = repeat(STEPS) {
            nowMs += STEP_MS
            if (faults) injectFault()
            messages.filter { it.atMs <= nowMs }.also { messages.removeAll(it) }.forEach { it.deliver(nowMs) }
            routers.values.filter { it.pausedUntilMs <= nowMs }.forEach { step(it) }
            publishLoads()
            assertLimits()
        }

        /** Partitions the network, heals it, pauses a router or restarts one. Only a restart ends the requests. */
        private fun injectFault() {
            when (random.nextInt(250)) {
                0 -> partitions = routers.keys.associateWith { random.nextInt(3) }
                1, 2 -> partitions = routers.keys.associateWith { 0 }
                3 -> routers.values.random(random).pausedUntilMs = nowMs + random.nextLong(8_000)
                4 -> routers.keys.random(random).let {
                    routers[it] = Router(it, nowMs, routers.getValue(it).incarnation + 1)
                }
            }
        }

        private fun step(router: Router) {
            router.running.removeIf { it.endsMs <= nowMs }
            router.slots.filter { router.leaseUntilMs > nowMs }.forEach { (endpoint, lent) ->
                while (router.running.count { it.endpoint == endpoint } < lent) {
                    router.running += Running(endpoint, nowMs + random.nextLong(200, 3_000))
                }
            }
            if (nowMs >= router.busyUntilMs && random.nextInt(5) == 0) report(router)
        }

        private fun report(router: Router) {
            val reachable = listed.filter { partitions[it] == partitions[router.id] }
            val preferred = rendezvous("cell", reachable) { it.value } ?: return
            val supports = router.support.allows(preferred, nowMs)
            val supported = router.support.current?.takeIf { it in reachable }
            val target = if (supports) preferred else supported ?: preferred
            if (supports) router.support.extend(target, nowMs)
            val link = router.links.getOrPut(target) { AllocatorLink() }
            val report = CellReport(
                cell = cell,
                supports = supports,
                acknowledged = link.acknowledged,
                running = router.running.groupingBy { it.endpoint }.eachCount(),
                workspaces = listOf(WorkspaceReport(WorkspaceId("w"), 50, router.running.size, 0)),
            )
            router.busyUntilMs = nowMs + MESSAGE_TIMEOUT_MS
            val sentMs = nowMs
            send(router.id, target) { arrivedMs -> serve(SentReport(router, target, report, link, sentMs), arrivedMs) }
        }

        private fun serve(sent: SentReport, arrivedMs: Long) = with(sent) {
            val server = routers.getValue(target)
            if (server.pausedUntilMs > arrivedMs) return@with
            val token = link.token.takeIf { link.incarnation == server.incarnation }
            server.allocator.onView(CellView(pool, listed, endpoints, endpoints), arrivedMs)
            val grant = server.allocator.exchange(router.id, "${router.incarnation}", token, report, arrivedMs)
            send(target, router.id) { backMs ->
                if (routers[router.id] !== router || backMs - sentMs >= MESSAGE_TIMEOUT_MS) return@send
                router.busyUntilMs = 0
                link.token = arrivedMs
                link.incarnation = server.incarnation
                val current = grant.sequence > link.acknowledged
                link.acknowledged = if (current) grant.sequence else 0
                if (current && grant.leaseMs > 0 && router.support.current == target) {
                    if (grant.leaseMs > 0) router.slots = grant.slots
                    router.leaseUntilMs = sentMs + grant.leaseMs
                }
            }
        }

        private fun send(from: InstanceId, to: InstanceId, deliver: (Long) -> Unit) {
            val lost = partitions[from] != partitions[to] || faults && random.nextInt(20) == 0
            if (!lost) {
                messages += Message(nowMs + random.nextLong(1, if (faults) 400 else 30), deliver)
            }
        }

        /** Sends the load of the endpoints to all allocators every half second, with a delay of half a second. */
        private fun publishLoads() {
            if (nowMs % 500 != 0L) return
            val loads = endpoints.associateWith { load(it) }
            routers.values.forEach { router ->
                messages += Message(nowMs + 500) { atMs ->
                    loads.forEach { (endpoint, running) ->
                        val report = EndpointReport("one", running, cold = false, atMs = atMs)
                        router.allocator.onEndpointReport(endpoint, report, atMs)
                    }
                }
            }
        }

        private fun load(endpoint: EndpointId): Int =
            routers.values.sumOf { router -> router.running.count { it.endpoint == endpoint && it.endsMs > nowMs } }

        private fun assertLimits() = endpoints.forEach { endpoint ->
            val running = load(endpoint)
            assertTrue(running <= LIMIT, "seed $seed at $nowMs ms: $endpoint runs $running requests, limit $LIMIT")
        }
    }
}
