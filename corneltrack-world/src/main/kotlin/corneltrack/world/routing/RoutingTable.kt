package corneltrack.world.routing

import corneltrack.world.PoolId
import corneltrack.world.RegionId
import corneltrack.world.WorkspaceId

/**
 * Describes the model engines of a pool.
 *
 * @property batchSlots the requests that one engine runs at once.
 * @property kvCacheTokens the tokens that one engine's memory holds.
 * @property tokensPerEvent the tokens that one event of a stream carries.
 */
public data class EngineProfile(val batchSlots: Int, val kvCacheTokens: Long, val tokensPerEvent: Int)

/**
 * Describes a pool of endpoints that serve the same thing.
 *
 * @property engine the engines of the pool, or null for a plain service.
 * @property coldStartRequestsPerSecond what one endpoint bears after its start; 0 where it bears all.
 */
public data class RoutedPool(
    val id: PoolId,
    val healthPath: String,
    val engine: EngineProfile?,
    val maximumConnections: Int,
    val coldStartRequestsPerSecond: Double,
)

/** Names a workspace with its API keys, rank and the only regions that may serve it. */
public data class RoutedWorkspace(
    val id: WorkspaceId,
    val keys: Set<String>,
    val priority: Int?,
    val regions: Set<RegionId>,
)

/**
 * Bounds what a caller may send and how long it may take.
 *
 * @property headerTimeoutMs the longest time from a head's first byte to its last.
 * @property idleTimeoutMs the longest time without a request on a connection.
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
 * @property tokensPerSecond what all engines read and generate together, each generated token counting twice;
 *   0 where unknown.
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

    /** Whether requests need a key unless their route is public. */
    val keysRequired: Boolean get() = workspaces.isNotEmpty()

    /** Returns the route with the longest prefix of [path] on [host], or null. */
    public fun routeFor(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the workspace that holds [key], or null. */
    public fun workspaceForKey(key: String): RoutedWorkspace? = workspacesByKey[key]
}
