package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import kotlinx.serialization.Serializable

/**
 * The demand and usage of one workspace at one router in one cell.
 *
 * The fields of this and the other messages of an exchange are numbered on the wire in the order of their declaration:
 * new fields must be added at the end and have a default value.
 *
 * @property waiting the number of requests that wait for a slot of the cell.
 * @property running the number of requests that hold a slot of the cell.
 * @property served the cost served in the cell since the router's incarnation started.
 * @property oldestWaitMs how long the oldest waiting request has waited, in ms.
 * @property runningInOtherCells in a borrower's report, the number of requests that hold slots of cells other than the
 * lender's.
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

/**
 * The number of requests at one endpoint by outcome, since the last acknowledged report.
 *
 * @property successes the requests with a response.
 * @property refused the requests that the endpoint refused because it is overloaded.
 * @property broken the requests whose connection failed.
 * @property firstByteMs the sum of the times to the first byte of all [successes], in ms.
 */
@Serializable
public data class OutcomeReport(
    val successes: Int = 0,
    val refused: Int = 0,
    val broken: Int = 0,
    val firstByteMs: Long = 0,
) {
    /** Returns the sums of both reports. */
    public operator fun plus(other: OutcomeReport): OutcomeReport = OutcomeReport(
        successes + other.successes,
        refused + other.refused,
        broken + other.broken,
        firstByteMs + other.firstByteMs,
    )
}

/**
 * The slots that one router uses in one cell, and its demand.
 *
 * @property supports whether the sender belongs to the cell's home group and supports the receiver as its allocator.
 * @property acknowledged the sequence number of the last grant that the sender applied, or 0 if there is none.
 * @property running the number of requests in flight by endpoint.
 * @property outcomes how requests ended since the last acknowledged report, by endpoint.
 * @property virtualService the virtual service by workspace as last known to the sender; sent until the first grant is
 * acknowledged.
 * @property limits the endpoint limits as last known to the sender; sent until the first grant is acknowledged.
 * @property meanCost the mean cost of the sender's recently completed requests, or 0 if there are none.
 * @property borrower the cell for which its allocator borrows slots by this report; null for a router's own report.
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
 * A grant of slots of one cell to one router, or to the allocator of another cell.
 *
 * @property sequence the sequence number, which increases with each grant of an allocator incarnation.
 * @property slots the number of requests that the receiver may have in flight, by endpoint.
 * @property leaseMs how long new requests may be started on the slots, in ms since the receiver sent its report.
 * @property virtualService the virtual service of each workspace that the receiver reported.
 * @property deferred the workspaces that have reached their cap while others wait.
 * @property limits the limit of each endpoint of the cell for all routers together; empty in most grants.
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
 * The reports of one router on all cells that the receiving router allocates.
 *
 * @property echo the token of the receiver's last response, or null; support counts from the time of the token.
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
 * The response to an [ExchangeRequest].
 *
 * @property token encodes the time of the response; opaque to the receiver, which echoes it in its next request.
 * @property releaseMs set while the sender shuts down: the time after which all its leases have expired and the
 * receiver may support another allocator, in ms.
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
