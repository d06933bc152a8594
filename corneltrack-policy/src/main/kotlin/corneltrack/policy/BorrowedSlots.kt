package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.EndpointId

private const val RECALL_MARGIN_MS = 700L

/** Holds the slots that the allocators of other cells of the pool have lent to this one. Not thread-safe. */
internal class BorrowedSlots {
    private class Loan(val slots: Map<EndpointId, Int>, val untilMs: Long)

    private val loans = HashMap<Cell, Loan>()
    private val outcomes = HashMap<EndpointId, OutcomeReport>()

    /** Replaces the loan of [lender] by [slots], which may be used until [untilMs]. */
    fun onLoan(lender: Cell, slots: Map<EndpointId, Int>, untilMs: Long) {
        loans[lender] = Loan(slots, untilMs)
    }

    /** Returns the endpoints of other cells whose slots may be lent to routers. */
    fun endpoints(nowMs: Long): Set<EndpointId> = usableLoans(nowMs).flatMapTo(HashSet()) { it.slots.keys }

    /** Returns the number of borrowed slots of [endpoint] that may be lent to routers. */
    fun usable(endpoint: EndpointId, nowMs: Long): Int = usableLoans(nowMs).sumOf { it.slots[endpoint] ?: 0 }

    /** Returns the time until the first usable loan expires, in ms, or null if there is none. */
    fun remainingMs(nowMs: Long): Long? = usableLoans(nowMs).minOfOrNull { it.untilMs - nowMs }

    /** Records how requests on borrowed slots ended, for the lender, which maintains the limit of the endpoint. */
    fun onOutcomes(endpoint: EndpointId, report: OutcomeReport) {
        outcomes.merge(endpoint, report) { sum, next -> sum + next }
    }

    /** Removes and returns the recorded outcomes of [endpoints], which belong to one lender. */
    fun drainOutcomes(endpoints: Set<EndpointId>): Map<EndpointId, OutcomeReport> =
        endpoints.mapNotNull { id -> outcomes.remove(id)?.let { id to it } }.toMap()

    /** Returns the loans that are not about to expire, so that an unreachable lender does not shorten other leases. */
    private fun usableLoans(nowMs: Long): List<Loan> =
        loans.values.filter { it.slots.isNotEmpty() && it.untilMs - nowMs > RECALL_MARGIN_MS }
}
