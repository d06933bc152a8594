package corneltrack.world

import kotlinx.serialization.Serializable

/** Tells whether a listed member takes new work. */
@Serializable
public enum class MemberState { LIVE, LEAVING }

/** Joins a data centre to its region. */
@Serializable
public data class DataCentre(val id: DataCentreId, val region: RegionId)

/**
 * Describes a listed router instance.
 *
 * @property address host and port of the surface for peers and operators.
 */
@Serializable
public data class Instance(
    val id: InstanceId,
    val dataCentre: DataCentreId,
    val address: String,
    val state: MemberState = MemberState.LIVE,
)

/** Describes a listed endpoint of a pool, reached at [address] (host and port). */
@Serializable
public data class Endpoint(
    val id: EndpointId,
    val pool: PoolId,
    val dataCentre: DataCentreId,
    val address: String,
    val state: MemberState = MemberState.LIVE,
) {
    /** The cell that this endpoint belongs to. */
    val cell: Cell get() = Cell(pool, dataCentre)
}

/** Holds one answer of the platform's instance list, which lags behind the truth. */
@Serializable
public data class FleetList(
    val instances: List<Instance> = emptyList(),
    val endpoints: List<Endpoint> = emptyList(),
)
