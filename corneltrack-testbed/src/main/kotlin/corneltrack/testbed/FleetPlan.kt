package corneltrack.testbed

import corneltrack.world.Change
import corneltrack.world.DataCentreId
import corneltrack.world.Pool
import corneltrack.world.PoolId
import corneltrack.world.PoolKind
import corneltrack.world.PutPool
import corneltrack.world.PutWorkspace
import corneltrack.world.RegionId
import corneltrack.world.Workspace
import corneltrack.world.WorkspaceId
import java.security.MessageDigest

/** Describes one data centre of a test fleet by the number of its routers, model engines and plain services. */
public data class DataCentrePlan(
    val id: DataCentreId,
    val region: RegionId,
    val routers: Int,
    val engines: Int,
    val services: Int,
)

/**
 * Describes a fleet for tests and measurements.
 *
 * @property serviceTimeMs the time that one call of a plain service takes, in ms.
 * @property regionDelayMs the one-way delay between regions, in ms.
 * @property listLagMs the time from a change of the instance list to its publication, in ms.
 * @property proxied whether routers reach the other members through fault-injecting proxies.
 * @property claimRetentionMs the time for which routers remember an idempotency key, in ms.
 */
public data class FleetPlan(
    val dataCentres: List<DataCentrePlan>,
    val workspaces: List<WorkspaceId>,
    val pools: List<Pool>,
    val engine: EngineBehaviour,
    val serviceTimeMs: Long,
    val regionDelayMs: Long,
    val listLagMs: Long,
    val proxied: Boolean = true,
    val claimRetentionMs: Long = DEFAULT_CLAIM_RETENTION_MS,
) {
    /** The changes that create the initial configuration. */
    public val initialChanges: List<Change>
        get() = pools.map { PutPool(it) } + workspaces.map { PutWorkspace(Workspace(it, setOf(keyHash(apiKey(it))))) }
}

/** The model pool of test fleets. */
public val DRAFTS: PoolId = PoolId("drafts")

/** The plain-service pool of test fleets, reached at `/orders`. */
public val ORDERS: PoolId = PoolId("orders")

/** Returns the API key of [workspace] in test fleets. */
public fun apiKey(workspace: WorkspaceId): String = "key-of-$workspace"

private fun keyHash(key: String): String =
    MessageDigest.getInstance("SHA-256").digest(key.toByteArray()).joinToString("") { "%02x".format(it) }

/** Builds a [FleetPlan]. */
public class FleetPlanBuilder internal constructor() {
    private val dataCentres = mutableListOf<DataCentrePlan>()

    /** The number of workspaces. */
    public var workspaces: Int = DEFAULT_WORKSPACES

    /** How the model engines behave. */
    public var engine: EngineBehaviour = EngineBehaviour()

    /** The time that one call of a plain service takes, in ms. */
    public var serviceTimeMs: Long = DEFAULT_SERVICE_TIME_MS

    /** The one-way delay between regions, in ms. */
    public var regionDelayMs: Long = 0

    /** The time from a change of the instance list to its publication, in ms. */
    public var listLagMs: Long = 0

    /** Whether routers reach the other members through fault-injecting proxies. */
    public var proxied: Boolean = true

    /** The time without an event after which an open response counts as lost, in ms. */
    public var idleTimeoutMs: Long = DEFAULT_IDLE_TIMEOUT_MS

    /** The time for which routers remember an idempotency key, in ms. */
    public var claimRetentionMs: Long = DEFAULT_CLAIM_RETENTION_MS

    /** Adds a data centre in [region]; by default it is the only one of its region. */
    public fun dataCentre(id: String, region: String = id, routers: Int = 1, engines: Int = 0, services: Int = 0) {
        dataCentres += DataCentrePlan(DataCentreId(id), RegionId(region), routers, engines, services)
    }

    internal fun build(): FleetPlan {
        val drafts = Pool(
            DRAFTS,
            PoolKind.MODEL,
            coldLimit = engine.coldStartLimit,
            endpointLimit = engine.batchSlots,
            silenceLimitMs = idleTimeoutMs,
            resumable = engine.resumable,
        )
        val orders = Pool(
            ORDERS,
            PoolKind.SERVICE,
            route = "/orders",
            coldLimit = SERVICE_CONCURRENCY,
            endpointLimit = SERVICE_CONCURRENCY,
            silenceLimitMs = idleTimeoutMs,
        )
        val workspaceIds = (1..workspaces).map { WorkspaceId("w%02d".format(it)) }
        val pools = listOf(drafts, orders)
        return FleetPlan(
            dataCentres,
            workspaceIds,
            pools,
            engine,
            serviceTimeMs,
            regionDelayMs,
            listLagMs,
            proxied,
            claimRetentionMs,
        )
    }
}

/** Builds a plan of which [configure] sets the parts. */
public fun fleetPlan(configure: FleetPlanBuilder.() -> Unit): FleetPlan = FleetPlanBuilder().apply(configure).build()

private const val DEFAULT_WORKSPACES = 4
private const val DEFAULT_CLAIM_RETENTION_MS = 86_400_000L
private const val DEFAULT_SERVICE_TIME_MS = 20L
private const val DEFAULT_IDLE_TIMEOUT_MS = 10_000L
private const val SERVICE_CONCURRENCY = 16
