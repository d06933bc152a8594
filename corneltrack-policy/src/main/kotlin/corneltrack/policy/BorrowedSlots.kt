package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.EndpointId

private const val RECALL_MARGIN_MS = 700L

/** Keeps the slots that allocators of the same pool elsewhere have lent to this one. Not thread-safe. */
internal class BorrowedSlots {
    private class Loan(val slots: Map<EndpointId, Int>, val untilMs: Long)

    private val loans = HashMap<Cell, Loan>()
    private val outcomes = HashMap<EndpointId, OutcomeReport>()

    /** Replaces what [lender] has lent, usable until [untilMs]. */
    fun onLoan(lender: Cell, slots: Map<EndpointId, Int>, untilMs: Long) {
        loans[lender] = Loan(slots, untilMs)
    }

    /** Returns the endpoints elsewhere on which slots may be lent on. */
    fun endpoints(nowMs: Long): Set<EndpointId> = usableLoans(nowMs).flatMapTo(HashSet()) { it.slots.keys }

    /** Returns the slots of [endpoint] that may be lent on. */
    fun usable(endpoint: EndpointId, nowMs: Long): Int = usableLoans(nowMs).sumOf { it.slots[endpoint] ?: 0 }

    /** Returns how long the shortest loan in use still lasts, or null where there is none. */
    fun remainingMs(nowMs: Long): Long? = usableLoans(nowMs).minOfOrNull { it.untilMs - nowMs }

    /** Keeps how requests on a borrowed slot ended, for the lender, who holds the endpoint's limit. */
    fun onOutcomes(endpoint: EndpointId, report: OutcomeReport) {
        outcomes.merge(endpoint, report) { sum, next -> sum + next }
    }

    /** Takes out what is to be told the lender of [endpoints]. */
    fun drainOutcomes(endpoints: Set<EndpointId>): Map<EndpointId, OutcomeReport> =
        endpoints.mapNotNull { id -> outcomes.remove(id)?.let { id to it } }.toMap()

    /** Loans that are about to end are no longer lent on, so that a broken link does not shorten other leases. */
    private fun usableLoans(nowMs: Long): List<Loan> =
        loans.values.filter { it.slots.isNotEmpty() && it.untilMs - nowMs > RECALL_MARGIN_MS }
}
