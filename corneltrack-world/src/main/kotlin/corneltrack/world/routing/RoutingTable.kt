package corneltrack.world.routing

import corneltrack.world.PoolId
import corneltrack.world.RegionId
import corneltrack.world.WorkspaceId
import java.util.TreeSet

/**
 * Describes the model engines of a pool.
 *
 * @property batchSlots the number of requests that one engine runs at once.
 * @property kvCacheTokens the number of tokens that one engine's KV cache holds.
 * @property tokensPerEvent the number of generated tokens in one event of a stream.
 * @property transferMsPerToken the time to copy one token's KV cache from another engine of the pool, in ms; null if
 *   the engines cannot copy it.
 */
public data class EngineProfile(
    val batchSlots: Int,
    val kvCacheTokens: Long,
    val tokensPerEvent: Int,
    val transferMsPerToken: Double? = null,
)

/**
 * Describes a pool of interchangeable endpoints.
 *
 * @property engine the engines of a model pool, or null for a plain service.
 * @property coldStartRequestsPerSecond the request rate of one endpoint during its cold start; 0 if unlimited.
 */
public data class RoutedPool(
    val id: PoolId,
    val healthPath: String,
    val engine: EngineProfile?,
    val maximumConnections: Int,
    val coldStartRequestsPerSecond: Double,
)

/**
 * Describes a workspace that may send requests.
 *
 * @property keys the API keys that identify the workspace.
 * @property priority the priority of the workspace, or null if it has none.
 * @property regions the only regions that may serve the workspace; empty if all may.
 */
public data class RoutedWorkspace(
    val id: WorkspaceId,
    val keys: Set<String>,
    val priority: Int?,
    val regions: Set<RegionId>,
)

/**
 * Limits the size of requests and the time that callers may take to send them.
 *
 * @property headerBytes the maximum size of a request's head, in bytes.
 * @property bodyBytes the maximum size of a request's body, in bytes.
 * @property headerTimeoutMs the time limit from the first byte of a request's head to its last, in ms.
 * @property idleTimeoutMs the time after which a connection without a request is closed, in ms.
 */
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMs: Long,
    val idleTimeoutMs: Long,
)

/**
 * Holds one version of the routing configuration.
 *
 * @property version the version of the configuration; a table of a higher version replaces this one.
 * @property tokensPerSecond the prefill and decode throughput of all engines together, with each generated token
 *   counted twice, as in the cost of a request; 0 if unknown.
 */
public data class RoutingTable(
    val version: Long,
    val routes: List<Route>,
    val pools: Map<PoolId, RoutedPool>,
    val workspaces: List<RoutedWorkspace>,
    val limits: CallerLimits,
    val tokensPerSecond: Double,
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host }.mapValues { (_, group) -> group.sortedByDescending { it.pathPrefix.length } }
    private val workspacesByKey: Map<String, RoutedWorkspace> =
        workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()

    private val streamPriorities: Map<PoolId, Set<Int>> by lazy(LazyThreadSafetyMode.NONE) {
        val priorities = HashMap<PoolId, TreeSet<Int>>()
        routes.filter { it.responseMode == ResponseMode.EVENT_STREAM }.forEach { route ->
            route.pools.forEach { priorities.getOrPut(it.pool) { TreeSet() } += prioritiesOf(route) }
        }
        priorities
    }

    /** Whether requests need an API key unless their route is public. */
    val keysRequired: Boolean get() = workspaces.isNotEmpty()

    /** Returns the route of [host] whose path prefix is the longest that matches [path], or null if none matches. */
    public fun routeFor(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the priorities of the streams of [pool], the highest first; a workspace's goes before its route's. */
    public fun streamPriorities(pool: PoolId): Set<Int> = streamPriorities[pool].orEmpty()

    private fun prioritiesOf(route: Route): List<Int> {
        val ofWorkspaces = if (route.public) emptyList() else workspaces.map { it.priority ?: route.priority }
        return ofWorkspaces.ifEmpty { listOf(route.priority) }
    }

    /** Returns the workspace that the API [key] identifies, or null if the key is unknown. */
    public fun workspaceForKey(key: String): RoutedWorkspace? = workspacesByKey[key]
}
