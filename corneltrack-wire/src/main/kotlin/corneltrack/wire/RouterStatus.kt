package corneltrack.wire

import corneltrack.world.CellStatus
import corneltrack.world.DataCentreId
import corneltrack.world.InstanceId
import corneltrack.world.PoolId
import corneltrack.world.WorkspaceId
import kotlinx.serialization.Serializable

/** Shows what one workspace does in one pool at one router. */
@Serializable
public data class WorkspaceStatus(
    val pool: PoolId,
    val workspace: WorkspaceId,
    val waiting: Int,
    val running: Int,
    val served: Long,
)

/**
 * Shows one router at a glance.
 *
 * @property configurationOffset the offset up to which the configuration stream has been applied.
 * @property configurationVersion the offset of the last accepted change in force.
 * @property logSilenceMs how long ago the log last answered, in ms, or null where it never has.
 * @property listSilenceMs how long ago the instance list last answered, in ms, or null where it never has.
 * @property allocates the cells whose slots this router lends out.
 */
@Serializable
public data class RouterStatus(
    val id: InstanceId,
    val incarnation: String,
    val dataCentre: DataCentreId,
    val ready: Boolean,
    val configurationOffset: Long,
    val configurationVersion: Long,
    val logSilenceMs: Long?,
    val listSilenceMs: Long?,
    val openRequests: Int,
    val allocates: List<CellStatus>,
    val workspaces: List<WorkspaceStatus>,
    val quarantined: Set<String>,
)
