package corneltrack.router

import corneltrack.policy.CellAllocator
import corneltrack.policy.CellGrant
import corneltrack.policy.CellReport
import corneltrack.policy.CellView
import corneltrack.policy.EndpointReport
import corneltrack.policy.ExchangeRequest
import corneltrack.policy.ExchangeResponse
import corneltrack.policy.LeaseTimes
import corneltrack.wire.event
import corneltrack.world.Cell
import corneltrack.world.CellStatus
import corneltrack.world.Endpoint
import corneltrack.world.InstanceId
import org.apache.logging.log4j.LogManager

private const val IDLE_TIMEOUT_MS = 30_000L
private val logger = LogManager.getLogger("corneltrack.router.AllocatorDuty")

/**
 * Runs the allocators of the cells whose routers report to this router.
 *
 * An allocator is created by the first report on its cell and removed after [IDLE_TIMEOUT_MS] without a report. Must be
 * used on the control thread only.
 *
 * @param incarnation the incarnation of this router. Tokens of earlier incarnations are ignored.
 */
internal class HostedAllocators(
    private val settings: RouterSettings,
    private val incarnation: String,
    private val views: RouterViews,
    private val times: LeaseTimes,
    private val clock: Clock,
) {
    private class HostedAllocator(val allocator: CellAllocator, var lastUsedMs: Long)

    private val startMs = clock()
    private val hosted = HashMap<Cell, HostedAllocator>()
    private var releaseAtMs: Long? = null

    /** The cells whose allocators run at this router. */
    val cells: Set<Cell> get() = hosted.keys

    /** Passes the reports of a router to the allocators of their cells and returns the grants. */
    fun exchange(request: ExchangeRequest): ExchangeResponse {
        val nowMs = clock()
        val tokenMs = request.echo?.let { tokenTimeMs(it, incarnation) }
        val grants = request.cells.mapNotNull { exchange(request, it, tokenMs, nowMs) }
        return ExchangeResponse(
            from = settings.id,
            incarnation = incarnation,
            token = "$incarnation:$nowMs",
            configurationOffset = views.current.configuration.offset,
            releaseMs = releaseAtMs?.let { maxOf(0, it - nowMs) },
            grants = grants,
        )
    }

    /** Records the load that an endpoint published. */
    fun onEndpointReport(endpoint: Endpoint, report: EndpointReport) {
        hosted[endpoint.cell]?.allocator?.onEndpointReport(endpoint.id, report, clock())
    }

    /** Records that an endpoint refuses connections. */
    fun onEndpointDown(endpoint: Endpoint) {
        hosted[endpoint.cell]?.allocator?.onEndpointDown(endpoint.id, clock())
    }

    /**
     * Builds the report that requests slots from the allocator of [lender] for [borrower].
     *
     * @return null if this router does not run the allocator of [borrower].
     */
    fun borrowReport(borrower: Cell, lender: Cell): CellReport? {
        val endpoints = views.current.endpointsByCell[lender].orEmpty().mapTo(HashSet()) { it.id }
        return hosted[borrower]?.allocator?.borrowReport(lender, endpoints, settings.limits.spillAfterMs)
    }

    /** Records the slots that were lent to [borrower] in response to the report sent at [sentMs]. */
    fun onLoan(borrower: Cell, grant: CellGrant, sentMs: Long) {
        hosted[borrower]?.allocator?.onLoan(grant, sentMs)
    }

    /** Returns the state of each cell in [cells]. */
    fun status(): List<CellStatus> = hosted.values.map { it.allocator.status(clock()) }

    /**
     * Limits all leases to end within one lease time from the first call, so that other allocators can take over.
     *
     * @return the lease time, in ms.
     */
    fun releaseLeases(): Long {
        releaseAtMs = releaseAtMs ?: (clock() + times.leaseMs)
        return times.leaseMs
    }

    /** Removes the allocators that have received no report for [IDLE_TIMEOUT_MS]. */
    fun removeIdle() {
        val nowMs = clock()
        hosted.filterValues { nowMs - it.lastUsedMs > IDLE_TIMEOUT_MS }.keys.toList().forEach { cell ->
            hosted.remove(cell)
            logger.event("allocator_ended") { field("cell", cell) }
        }
    }

    private fun exchange(request: ExchangeRequest, report: CellReport, tokenMs: Long?, nowMs: Long): CellGrant? {
        val view = views.current.cellView(report.cell) ?: return null
        val entry = hosted.getOrPut(report.cell) { create(report.cell, nowMs) }
        entry.lastUsedMs = nowMs
        entry.allocator.onView(view, nowMs)
        val holder = report.borrower?.let { InstanceId("${request.from}/$it") } ?: request.from
        val grant = entry.allocator.exchange(holder, request.incarnation, tokenMs, report, nowMs)
        return releaseAtMs?.let { grant.copy(leaseMs = grant.leaseMs.coerceAtMost(it - nowMs)) } ?: grant
    }

    private fun create(cell: Cell, nowMs: Long): HostedAllocator {
        logger.event("allocator_began") { field("cell", cell) }
        val allocator = CellAllocator(cell, times, startMs) { views.current.configuration.agreement.termsFor(it) }
        return HostedAllocator(allocator, nowMs)
    }
}

private fun RouterView.cellView(cell: Cell): CellView? {
    val pool = configuration.pools[cell.pool] ?: return null
    val endpoints = endpointsByCell[cell].orEmpty()
    return CellView(
        pool = pool,
        homeGroup = homeGroup(cell).mapTo(HashSet()) { it.id },
        endpoints = endpoints.mapTo(HashSet()) { it.id },
        openEndpoints = endpoints.filter { isOpen(it) }.mapTo(HashSet()) { it.id },
    )
}

/** Returns the time at which this [incarnation] issued [token], or null if another one did. */
private fun tokenTimeMs(token: String, incarnation: String): Long? =
    token.takeIf { it.substringBefore(':') == incarnation }?.substringAfter(':')?.toLongOrNull()
