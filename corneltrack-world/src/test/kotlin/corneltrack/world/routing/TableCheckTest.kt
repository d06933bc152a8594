package corneltrack.world.routing

import corneltrack.world.PoolId
import corneltrack.world.RegionId
import corneltrack.world.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals

class TableCheckTest {
    private val desk = RoutedPool(PoolId("desk"), "/health", null, maximumConnections = 10, 0.0)
    private val engines = desk.copy(id = PoolId("engines"), engine = EngineProfile(16, 500_000, 6))
    private val order = Route(
        "order",
        "shop.example",
        "/o/",
        ExecutionSemantics.AT_MOST_ONCE,
        ResponseMode.COMPLETE,
        resumable = false,
        timeoutMs = 800,
        objectiveMs = 300,
        pauseLimitMs = 500,
        priority = 2,
        maximumAttempts = 1,
        public = false,
        pools = listOf(WeightedPool(desk.id, 1.0)),
    )
    private val draft = order.copy(
        name = "draft",
        pathPrefix = "/d/",
        responseMode = ResponseMode.EVENT_STREAM,
        pools = listOf(WeightedPool(engines.id, 1.0)),
    )
    private val look = order.copy(name = "look", pathPrefix = "/l/", semantics = ExecutionSemantics.IDEMPOTENT)
    private val workspace = RoutedWorkspace(WorkspaceId("w"), setOf("key"), priority = 1, regions = emptySet())
    private val table = RoutingTable(
        version = 2,
        routes = listOf(order, look, draft),
        pools = listOf(desk, engines).associateBy { it.id },
        workspaces = listOf(workspace),
        limits = CallerLimits(16_384, 1_000, 3_000, 15_000),
        tokensPerSecond = 1_000.0,
    )

    @Test
    fun `a sound table has no findings`() = assertEquals(emptyList(), checkTable(table, table.copy(version = 1)))

    @Test
    fun `a version that replaces nothing is an error`() =
        assertFindings("error: version: 2 does not replace the version in force, 2", table, current = table)

    // Guards against a route that is sent and never gets a request.
    @Test
    fun `of two routes with the same host and prefix the later one never matches`() = assertFindings(
        "error: route copy: never matches: route order has the same host and path prefix",
        table.copy(routes = table.routes + order.copy(name = "copy")),
    )

    @Test
    fun `a route needs a pool of the table with a weight above 0`() {
        assertFindings("error: route order: leads to no pool", withOrder(order.copy(pools = emptyList())))
        assertFindings(
            "error: route order, pool: gone is not in the table",
            withOrder(order.copy(pools = order.pools + WeightedPool(PoolId("gone"), 1.0))),
        )
        assertFindings(
            "error: route order, weight: no pool has a weight above 0",
            withOrder(order.copy(pools = listOf(WeightedPool(desk.id, 0.0)))),
        )
        assertFindings(
            "error: route order, weight: -1.0 of pool engines is not a share",
            withOrder(order.copy(pools = order.pools + WeightedPool(engines.id, -1.0) + WeightedPool(desk.id, 1.0))),
        )
        assertFindings(
            "warning: route order, weight: pool engines gets no request",
            withOrder(order.copy(pools = order.pools + WeightedPool(engines.id, 0.0))),
        )
    }

    @Test
    fun `times that contradict each other are found`() {
        assertFindings(
            "warning: route order, timeout: 800 ms ends before the objective of 900 ms",
            withOrder(order.copy(objectiveMs = 900)),
        )
        assertFindings("error: route order, timeout: 0 ms leaves no time", withOrder(order.copy(timeoutMs = 0)))
        assertFindings(
            "warning: route draft, pause: 900 ms exceeds the timeout of 800 ms",
            table.copy(routes = listOf(order, draft.copy(pauseLimitMs = 900))),
        )
        assertFindings(
            "warning: limits, head timeout: 20000 ms exceeds the idle timeout of 15000 ms",
            table.copy(limits = table.limits.copy(headerTimeoutMs = 20_000)),
        )
    }

    @Test
    fun `a route and a workspace without a common region are found`() {
        val north = order.copy(regions = setOf(RegionId("north")))
        val south = workspace.copy(regions = setOf(RegionId("south")))

        assertFindings(
            "warning: route order, regions: no region may serve workspace w",
            withOrder(north).copy(workspaces = listOf(south)),
        )
        assertEquals(emptyList(), checkTable(withOrder(north.copy(public = true)).copy(workspaces = listOf(south))))
    }

    // Guards against a key whose requests are charged to whichever workspace comes last.
    @Test
    fun `a key of two workspaces is an error, one without keys a warning`() {
        assertFindings(
            "error: workspaces w, v: hold the same API key",
            table.copy(workspaces = listOf(workspace, workspace.copy(id = WorkspaceId("v")))),
        )
        assertFindings(
            "warning: workspace w: has no API key, so no request belongs to it",
            table.copy(workspaces = listOf(workspace.copy(keys = emptySet()))),
        )
    }

    @Test
    fun `a pool that no route leads to is a warning`() =
        assertFindings("warning: pool engines: no route leads to it", table.copy(routes = listOf(order)))

    // Guards against ranks among streams because of requests that take no room at engines.
    @Test
    fun `only the priorities of streams count, and a workspace's goes before its route's`() {
        val urgent = workspace.copy(id = WorkspaceId("v"), keys = setOf("other"), priority = 0)
        val plain = order.copy(pools = draft.pools, public = true)
        val open = draft.copy(name = "open", public = true, priority = 3)
        val mixed = table.copy(routes = listOf(plain, open, draft), workspaces = listOf(workspace, urgent))

        assertEquals(setOf(0, 1, 3), mixed.streamPriorities(engines.id))
        assertEquals(setOf(1), table.streamPriorities(engines.id))
        assertEquals(emptySet(), table.streamPriorities(desk.id))
    }

    @Test
    fun `changes name what is added, removed and altered and no key`() {
        val proposed = table.copy(
            routes = listOf(order.copy(timeoutMs = 900), look, draft.copy(name = "sketch")),
            workspaces = listOf(workspace.copy(keys = setOf("other"), priority = null)),
            limits = table.limits.copy(bodyBytes = 2_000),
        )

        val expected = listOf(
            "route order, timeout: 800 ms -> 900 ms",
            "route draft: removed",
            "route sketch: added",
            "workspace w, priority: 1 -> of the route",
            "workspace w, API keys: 1 revoked",
            "workspace w, API keys: 1 added",
            "limits, body: 1000 bytes -> 2000 bytes",
        )
        assertEquals(expected, tableChanges(table, proposed).map { it.toString() })
        assertEquals(emptyList(), tableChanges(table, table))
    }

    private fun withOrder(changed: Route) = table.copy(routes = listOf(changed, look, draft))

    private fun assertFindings(expected: String, checked: RoutingTable, current: RoutingTable? = null) =
        assertEquals(listOf(expected), checkTable(checked, current).map { it.toString() })
}
