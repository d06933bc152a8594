package corneltrack.wire

import corneltrack.world.CellStatus
import corneltrack.world.DataCentreId
import corneltrack.world.InstanceId
import corneltrack.world.PoolId
import corneltrack.world.WorkspaceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Describes the requests of one workspace to one pool at one router.
 *
 * @property waiting the number of requests that wait for a slot.
 * @property running the number of requests that run.
 * @property served the cost of the workspace's requests that the router has served in all pools since it started.
 */
@Serializable
public data class WorkspaceStatus(
    val pool: PoolId,
    val workspace: WorkspaceId,
    val waiting: Int,
    val running: Int,
    val served: Long,
)

/**
 * Describes the state of one router for operators.
 *
 * @property ready whether the router accepts requests.
 * @property configurationOffset the offset of the last entry of the configuration stream that has been applied.
 * @property configurationVersion the offset of the last accepted change.
 * @property logAgeMs the time since the last response of the log, in ms, or null if there was none.
 * @property listAgeMs the time since the last response of the instance list, in ms, or null if there was none.
 * @property openRequests the number of requests under way.
 * @property allocates the cells that this router is the allocator of.
 * @property quarantined the fingerprints of requests that are in quarantine.
 */
@Serializable
public data class RouterStatus(
    val id: InstanceId,
    val incarnation: String,
    val dataCentre: DataCentreId,
    val ready: Boolean,
    val configurationOffset: Long,
    val configurationVersion: Long,
    @SerialName("logSilenceMs") val logAgeMs: Long?,
    @SerialName("listSilenceMs") val listAgeMs: Long?,
    val openRequests: Int,
    val allocates: List<CellStatus>,
    val workspaces: List<WorkspaceStatus>,
    val quarantined: Set<String>,
)
