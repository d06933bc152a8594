package corneltrack.world

import kotlinx.serialization.Serializable

/** Whether a listed instance or endpoint accepts new work ([LIVE]) or only finishes what it has ([LEAVING]). */
@Serializable
public enum class MemberState { LIVE, LEAVING }

/** Assigns a data centre to its region. */
@Serializable
public data class DataCentre(val id: DataCentreId, val region: RegionId)

/**
 * Describes a listed router instance.
 *
 * @property address the host and port of the control server, which serves peers and operators.
 */
@Serializable
public data class Instance(
    val id: InstanceId,
    val dataCentre: DataCentreId,
    val address: String,
    val state: MemberState = MemberState.LIVE,
)

/**
 * Describes a listed endpoint of a pool.
 *
 * @property address the host and port that serve requests.
 */
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

/** Holds the members in one response of the platform's instance list. The list may be stale. */
@Serializable
public data class FleetList(
    val instances: List<Instance> = emptyList(),
    val endpoints: List<Endpoint> = emptyList(),
)
