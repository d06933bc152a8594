package corneltrack.policy

import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import kotlin.math.abs
import kotlin.math.max
import kotlin.math.min

private const val BAND_DIVISOR = 8
private const val LOAN_BAND_DIVISOR = 3
private const val WAITING_LIMIT = 256
private const val FRESH_MS = 600L
private const val CLAIM_MS = 2_500L
private const val CLAIM_LEAD_MS = 300L

/** What an allocator knows of one router that holds or wants slots of its cell. Not thread-safe. */
internal class Holder(val id: InstanceId, val incarnation: String) {
    val origin: String get() = "$id/$incarnation"

    /** The slots that the router may be using. */
    val held: Int get() = committed.values.sum()

    /** The slots that the router could use. */
    val demand: Int get() = workspaces.values.sumOf { it.waiting + it.running }
    var local = false
    var leaseUntilMs = 0L
    var lastReportMs = 0L

    /** The time between the last two reports, in ms. */
    var reportPeriodMs = 0L
        private set
    var sequence = 0L
    var running: Map<EndpointId, Int> = emptyMap()
    var workspaces: Map<WorkspaceId, WorkspaceReport> = emptyMap()
    var granted: Map<EndpointId, Int> = emptyMap()
    var committed: Map<EndpointId, Int> = emptyMap()

    /** The slots due at present, with small changes left out. */
    var due = 0
        private set

    /**
     * Takes in what the latest division makes due.
     *
     * A difference within the band changes nothing, since each slot that moves idles until both routers have reported.
     */
    fun onDivision(target: Int) {
        val lent = granted.values.sum()
        val band = max(1, lent / if (local) BAND_DIVISOR else LOAN_BAND_DIVISOR)
        val keeps = lent > 0 && target > 0 && abs(target - lent) <= band && lent <= demand
        due = if (keeps) lent else target
    }

    /** Takes in a report. Slots recalled by an acknowledged grant are committed only as far as they still run. */
    fun onReport(report: CellReport, nowMs: Long) {
        reportPeriodMs = nowMs - lastReportMs
        lastReportMs = nowMs
        local = report.supports
        running = report.running
        workspaces = report.workspaces.associateBy { it.workspace }
        val bound = if (report.acknowledged == sequence) granted else committed
        committed = bound.mergedMax(running)
    }

    /** Records that [slots] are lent until [untilMs] under the grant [sequence]. */
    fun onGrant(slots: Map<EndpointId, Int>, sequence: Long, untilMs: Long) {
        committed = committed.mergedMax(slots)
        granted = slots
        this.sequence = sequence
        leaseUntilMs = maxOf(leaseUntilMs, untilMs)
    }

    /** Returns whether the running requests of this holder are known: its lease is alive or it reported just now. */
    fun isHeard(nowMs: Long): Boolean = leaseUntilMs > nowMs || nowMs - lastReportMs < FRESH_MS

    /** Returns whether slots due to this holder stay free for it: not until shortly before it is to report again. */
    fun claims(nowMs: Long): Boolean = nowMs - lastReportMs in reportPeriodMs - CLAIM_LEAD_MS..CLAIM_MS

    fun demands(): List<SlotDemand> = workspaces.values.map {
        SlotDemand(it.workspace, id, it.waiting, it.running, it.oldestWaitMs, local)
    }
}

internal fun Map<EndpointId, Int>.mergedMax(other: Map<EndpointId, Int>): Map<EndpointId, Int> {
    val merged = HashMap(this)
    other.forEach { (endpoint, count) -> merged.merge(endpoint, count, ::maxOf) }
    return merged
}

/** Keeps the holders of one cell and drops those that have been silent past their lease. Not thread-safe. */
internal class Holders(private val times: LeaseTimes) {
    private val byId = HashMap<InstanceId, Holder>()
    private val former = mutableListOf<Holder>()

    val all: Collection<Holder> get() = byId.values

    /** Returns the holder for a router incarnation; a former incarnation's slots stay committed until they lapse. */
    fun of(id: InstanceId, incarnation: String): Holder {
        val known = byId[id]
        if (known != null && known.incarnation == incarnation) {
            return known
        }
        if (known != null) {
            former += known
        }
        return Holder(id, incarnation).also { byId[id] = it }
    }

    /** Returns the slots of [endpoint] that anyone, but [except], may be using. */
    fun committed(endpoint: EndpointId, except: Holder? = null): Int =
        (byId.values + former).filter { it !== except }.sumOf { it.committed[endpoint] ?: 0 }

    /**
     * Returns what waits at this cell's own routers for [overdueMs] or longer, with the cost [served] here.
     *
     * @param held the slots of the lender in use, which are shared out by what waits.
     */
    fun overdue(overdueMs: Long, held: Int, served: Map<WorkspaceId, Long>): List<WorkspaceReport> {
        val own = byId.values.filter { it.local }.flatMap { it.workspaces.values }.groupBy { it.workspace }
        val waiting = own.mapValues { (_, reports) ->
            reports.filter { it.oldestWaitMs >= overdueMs }.sumOf { it.waiting }
        }
        val total = max(1, waiting.values.sum())
        return (own.keys + served.keys).map { workspace ->
            val count = waiting[workspace] ?: 0
            val running = own[workspace].orEmpty().sumOf { it.running }
            val there = min(running, held * count / total)
            WorkspaceReport(
                workspace = workspace,
                waiting = min(count, WAITING_LIMIT),
                running = there,
                served = served[workspace] ?: 0,
                oldestWaitMs = own[workspace].orEmpty().maxOfOrNull { it.oldestWaitMs } ?: 0,
                runningInOtherCells = running - there,
            )
        }
    }

    /** Returns the requests of each workspace that hold slots of other cells. */
    fun runningInOtherCells(): Map<WorkspaceId, Int> =
        byId.values.filterNot { it.local }
            .flatMap { it.workspaces.values }
            .groupBy { it.workspace }
            .mapValues { (_, reports) -> reports.sumOf { it.runningInOtherCells } }

    /** Returns the requests known to run on [endpoint] at routers whose lease is alive or that reported just now. */
    fun running(endpoint: EndpointId, nowMs: Long): Int =
        byId.values.filter { it.isHeard(nowMs) }.sumOf { it.running[endpoint] ?: 0 }

    /** Returns whether any of [routers] holds no lease, so that it may have left requests running. */
    fun anyMissing(routers: Set<InstanceId>, nowMs: Long): Boolean =
        routers.any { (byId[it]?.leaseUntilMs ?: 0) <= nowMs }

    /** Returns the slots of [endpoint] still committed to routers that are not heard any more. */
    fun lapsed(endpoint: EndpointId, nowMs: Long): Int {
        val silent = byId.values.filterNot { it.isHeard(nowMs) } + former.filter { it.leaseUntilMs <= nowMs }
        return silent.sumOf { it.committed[endpoint] ?: 0 }
    }

    /**
     * Drops holders whose lease lapsed long enough ago for endpoints' reports to show what they left running.
     *
     * @return the origins dropped.
     */
    fun expire(nowMs: Long): List<String> {
        val gone = byId.values.filter { it.isGone(nowMs) }
        gone.forEach { byId.remove(it.id) }
        former.removeIf { it.isGone(nowMs) }
        return gone.map { it.origin }
    }

    private fun Holder.isGone(nowMs: Long): Boolean {
        val last = maxOf(leaseUntilMs, lastReportMs + times.leaseMs)
        return nowMs > last + 2 * times.reportLagMs
    }
}
