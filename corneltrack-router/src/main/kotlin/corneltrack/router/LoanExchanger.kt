package corneltrack.router

import corneltrack.policy.ExchangeRequest
import corneltrack.policy.ExchangeResponse
import corneltrack.world.Cell
import corneltrack.world.Instance
import corneltrack.world.InstanceId
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor

private const val LOAN_PERIOD_MS = 1_700L

/**
 * Borrows slots for the cells that this router allocates from the other cells of the same pool.
 *
 * The reports also carry the cost that the borrowing cell has served. Only allocators communicate across regions, so
 * that this traffic does not grow with the number of routers. The allocator of the borrowing cell lends the borrowed
 * slots to its routers and decides for which workspace they are used. Must be used on the control thread only.
 *
 * @param allocatorOf returns the router that allocates a cell, or null if there is none.
 * @param onPeerOffset is called with the configuration offset in each response.
 */
internal class LoanExchanger(
    private val context: RouterContext,
    private val incarnation: String,
    private val allocators: HostedAllocators,
    private val control: Executor,
    private val allocatorOf: (Cell) -> Instance?,
    private val onPeerOffset: (InstanceId, Long) -> Unit,
) {
    private data class Loan(val borrower: Cell, val lender: Cell)

    private var lastSentMs = context.clock()

    /** Sends the reports to all lenders, once per [LOAN_PERIOD_MS]. */
    fun tick() {
        val nowMs = context.clock()
        if (nowMs - lastSentMs < LOAN_PERIOD_MS) {
            return
        }
        lastSentMs = nowMs
        allocators.cells.flatMap { borrower -> possibleLenders(borrower).map { Loan(borrower, it) } }
            .groupBy { allocatorOf(it.lender) }
            .forEach { (peer, loans) -> if (peer != null) exchange(peer, loans, nowMs) }
    }

    private fun possibleLenders(cell: Cell): List<Cell> {
        val view = context.views.current
        return view.endpointsByCell.keys
            .filter { it.pool == cell.pool && it != cell && !view.configuration.isOutOfService(it.dataCentre) }
    }

    private fun exchange(peer: Instance, loans: List<Loan>, nowMs: Long) {
        val offset = context.views.current.configuration.offset
        loans.groupBy { it.borrower }.forEach { (borrower, loansFromPeer) ->
            val reports = loansFromPeer.mapNotNull { allocators.borrowReport(borrower, it.lender) }
                .filter { it.workspaces.isNotEmpty() || it.running.isNotEmpty() }
            if (reports.isNotEmpty()) {
                val request =
                    ExchangeRequest(context.settings.id, incarnation, configurationOffset = offset, cells = reports)
                send(peer, request).thenAcceptAsync({ response ->
                    response?.let { onPeerOffset(it.from, it.configurationOffset) }
                    response?.grants?.forEach { allocators.onLoan(borrower, it, nowMs) }
                }, control)
            }
        }
    }

    private fun send(peer: Instance, request: ExchangeRequest): CompletableFuture<ExchangeResponse?> =
        if (peer.id == context.settings.id) {
            CompletableFuture.completedFuture(allocators.exchange(request))
        } else {
            context.peers.exchange(peer, request)
        }
}
