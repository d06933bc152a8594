package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import kotlinx.serialization.Serializable

/**
 * States what one workspace does at one router in one cell.
 *
 * The fields of this and the other messages of an exchange are numbered on the wire in the order of their declaration:
 * new ones go last and have a default.
 *
 * @property waiting the requests that wait for a slot of the cell.
 * @property running the requests that hold a slot of the cell.
 * @property served the cost served in the cell since the router's incarnation began.
 * @property oldestWaitMs how long the oldest of [waiting] has waited, in ms.
 * @property runningInOtherCells in a borrower's report, the requests that hold slots of other cells than the lender's.
 */
@Serializable
public data class WorkspaceReport(
    val workspace: WorkspaceId,
    val waiting: Int = 0,
    val running: Int = 0,
    val served: Long = 0,
    val oldestWaitMs: Long = 0,
    val runningInOtherCells: Int = 0,
)

/** Counts how requests at one endpoint ended since the last acknowledged report. */
@Serializable
public data class OutcomeReport(
    val successes: Int = 0,
    val refused: Int = 0,
    val broken: Int = 0,
    val firstByteMs: Long = 0,
) {
    /** Returns the counts of both reports together. */
    public operator fun plus(other: OutcomeReport): OutcomeReport = OutcomeReport(
        successes + other.successes,
        refused + other.refused,
        broken + other.broken,
        firstByteMs + other.firstByteMs,
    )
}

/**
 * States what one router holds and wants in one cell.
 *
 * @property supports whether the sender belongs to the cell's home group and supports the receiver as its allocator.
 * @property acknowledged the sequence of the last grant that the sender applied, or 0.
 * @property running the requests in flight by endpoint.
 * @property virtualService the sender's last known virtual service by workspace, sent until a first grant is acknowledged.
 * @property limits the sender's last known endpoint limits, sent until a first grant is acknowledged.
 * @property borrower the cell for whose routers the sender, its allocator, borrows; null for a router's own report.
 * @property meanCost the mean cost of the requests that ended lately at the sender, or 0 where none did.
 */
@Serializable
public data class CellReport(
    @Serializable(with = CellSerializer::class) val cell: Cell,
    val supports: Boolean = false,
    val acknowledged: Long = 0,
    val running: Map<EndpointId, Int> = emptyMap(),
    val workspaces: List<WorkspaceReport> = emptyList(),
    val outcomes: Map<EndpointId, OutcomeReport> = emptyMap(),
    val virtualService: Map<WorkspaceId, Long> = emptyMap(),
    val limits: Map<EndpointId, Int> = emptyMap(),
    val meanCost: Long = 0,
    @Serializable(with = CellSerializer::class) val borrower: Cell? = null,
)

/**
 * Lends slots of one cell to one router.
 *
 * @property sequence rises with each grant of one allocator incarnation.
 * @property slots the requests that the router may have in flight by endpoint.
 * @property leaseMs how long the slots may be used for new work, counted from when the router sent its report.
 * @property virtualService the virtual service by workspace, for the workspaces that the router reported.
 * @property deferred the workspaces at their cap while others wait.
 * @property limits the limit of each endpoint of the cell over all routers; empty in most grants.
 */
@Serializable
public data class CellGrant(
    @Serializable(with = CellSerializer::class) val cell: Cell,
    val sequence: Long,
    val slots: Map<EndpointId, Int> = emptyMap(),
    val leaseMs: Long = 0,
    val virtualService: Map<WorkspaceId, Long> = emptyMap(),
    val deferred: Set<WorkspaceId> = emptySet(),
    val limits: Map<EndpointId, Int> = emptyMap(),
)

/**
 * Carries all that one router has to say to one allocator.
 *
 * @property echo the token of the allocator's last answer, or null; support counts from the moment named by the token.
 * @property configurationOffset the offset up to which the sender has applied the configuration stream.
 */
@Serializable
public data class ExchangeRequest(
    val from: InstanceId,
    val incarnation: String,
    val echo: String? = null,
    val configurationOffset: Long = -1,
    val cells: List<CellReport> = emptyList(),
)

/**
 * Answers an [ExchangeRequest].
 *
 * @property token names the moment at which the allocator answered; opaque to the router.
 * @property releaseMs set by an allocator that shuts down: the time after which all its leases have ended and the
 * router may support another, in ms.
 */
@Serializable
public data class ExchangeResponse(
    val from: InstanceId,
    val incarnation: String,
    val token: String,
    val configurationOffset: Long = -1,
    val releaseMs: Long? = null,
    val grants: List<CellGrant> = emptyList(),
)
