package corneltrack.policy

import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import kotlin.math.abs
import kotlin.math.max
import kotlin.math.min

private const val HYSTERESIS_DIVISOR = 8
private const val REMOTE_HYSTERESIS_DIVISOR = 3
private const val MAXIMUM_REPORTED_WAITING = 256
private const val REPORT_TTL_MS = 600L
private const val RESERVATION_TTL_MS = 2_500L
private const val RESERVATION_LEAD_MS = 300L

/** What an allocator knows of one router that holds or wants slots of its cell. Not thread-safe. */
internal class SlotHolder(val id: InstanceId, val incarnation: String) {
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

    /** The slots entitlement at present, with small changes left out. */
    var entitlement = 0
        private set

    /**
     * Takes in what the latest division makes entitlement.
     *
     * A difference within the hysteresis changes nothing, since each slot that moves idles until both routers have reported.
     */
    fun onDivision(target: Int) {
        val lent = granted.values.sum()
        val hysteresis = max(1, lent / if (local) HYSTERESIS_DIVISOR else REMOTE_HYSTERESIS_DIVISOR)
        val unchanged = lent > 0 && target > 0 && abs(target - lent) <= hysteresis && lent <= demand
        entitlement = if (unchanged) lent else target
    }

    /** Takes in a report. Slots recalled by an acknowledged grant are committed only as far as they still run. */
    fun onReport(report: CellReport, nowMs: Long) {
        reportPeriodMs = nowMs - lastReportMs
        lastReportMs = nowMs
        local = report.supports
        running = report.running
        workspaces = report.workspaces.associateBy { it.workspace }
        val outstanding = if (report.acknowledged == sequence) granted else committed
        committed = outstanding.mergedMax(running)
    }

    /** Records that [slots] are lent until [untilMs] under the grant [sequence]. */
    fun onGrant(slots: Map<EndpointId, Int>, sequence: Long, untilMs: Long) {
        committed = committed.mergedMax(slots)
        granted = slots
        this.sequence = sequence
        leaseUntilMs = maxOf(leaseUntilMs, untilMs)
    }

    /** Returns whether the running requests of this holder are known: its lease is alive or it reported just now. */
    fun isResponsive(nowMs: Long): Boolean = leaseUntilMs > nowMs || nowMs - lastReportMs < REPORT_TTL_MS

    /** Returns whether slots entitlement to this holder stay free for it: not until shortly before it is to report again. */
    fun hasReservation(nowMs: Long): Boolean = nowMs - lastReportMs in reportPeriodMs - RESERVATION_LEAD_MS..RESERVATION_TTL_MS

    fun demands(): List<SlotDemand> = workspaces.values.map {
        SlotDemand(it.workspace, id, it.waiting, it.running, it.oldestWaitMs, local)
    }
}

internal fun Map<EndpointId, Int>.mergedMax(other: Map<EndpointId, Int>): Map<EndpointId, Int> {
    val merged = HashMap(this)
    other.forEach { (endpoint, count) -> merged.merge(endpoint, count, ::maxOf) }
    return merged
}

/** Keeps the holders of one cell and drops those that have been unresponsive past their lease. Not thread-safe. */
internal class SlotHolders(private val times: LeaseTimes) {
    private val byId = HashMap<InstanceId, SlotHolder>()
    private val replaced = mutableListOf<SlotHolder>()

    val all: Collection<SlotHolder> get() = byId.values

    /** Returns the holder for a router incarnation; a replaced incarnation's slots stay committed until they lapse. */
    fun of(id: InstanceId, incarnation: String): SlotHolder {
        val known = byId[id]
        if (known != null && known.incarnation == incarnation) {
            return known
        }
        if (known != null) {
            replaced += known
        }
        return SlotHolder(id, incarnation).also { byId[id] = it }
    }

    /** Returns the slots of [endpoint] that anyone, but [except], may be using. */
    fun committed(endpoint: EndpointId, except: SlotHolder? = null): Int =
        (byId.values + replaced).filter { it !== except }.sumOf { it.committed[endpoint] ?: 0 }

    /**
     * Returns what waits at this cell's own routers for [overdueMs] or longer, with the cost [served] here.
     *
     * @param held the slots of the lender in use, which are shared out by what waits.
     */
    fun overdueReports(overdueMs: Long, held: Int, served: Map<WorkspaceId, Long>): List<WorkspaceReport> {
        val own = byId.values.filter { it.local }.flatMap { it.workspaces.values }.groupBy { it.workspace }
        val waiting = own.mapValues { (_, reports) ->
            reports.filter { it.oldestWaitMs >= overdueMs }.sumOf { it.waiting }
        }
        val total = max(1, waiting.values.sum())
        return (own.keys + served.keys).map { workspace ->
            val count = waiting[workspace] ?: 0
            val running = own[workspace].orEmpty().sumOf { it.running }
            val atLender = min(running, held * count / total)
            WorkspaceReport(
                workspace = workspace,
                waiting = min(count, MAXIMUM_REPORTED_WAITING),
                running = atLender,
                served = served[workspace] ?: 0,
                oldestWaitMs = own[workspace].orEmpty().maxOfOrNull { it.oldestWaitMs } ?: 0,
                runningInOtherCells = running - atLender,
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
        byId.values.filter { it.isResponsive(nowMs) }.sumOf { it.running[endpoint] ?: 0 }

    /** Returns whether any of [routers] holds no lease, so that it may have left requests running. */
    fun anyWithoutLease(routers: Set<InstanceId>, nowMs: Long): Boolean =
        routers.any { (byId[it]?.leaseUntilMs ?: 0) <= nowMs }

    /** Returns the slots of [endpoint] still committed to routers that are not heard any more. */
    fun committedToUnresponsive(endpoint: EndpointId, nowMs: Long): Int {
        val unresponsive = byId.values.filterNot { it.isResponsive(nowMs) } + replaced.filter { it.leaseUntilMs <= nowMs }
        return unresponsive.sumOf { it.committed[endpoint] ?: 0 }
    }

    /**
     * Drops holders whose lease lapsed long enough ago for endpoints' reports to show what they left running.
     *
     * @return the origins dropped.
     */
    fun expire(nowMs: Long): List<String> {
        val expired = byId.values.filter { it.isExpired(nowMs) }
        expired.forEach { byId.remove(it.id) }
        replaced.removeIf { it.isExpired(nowMs) }
        return expired.map { it.origin }
    }

    private fun SlotHolder.isExpired(nowMs: Long): Boolean {
        val last = maxOf(leaseUntilMs, lastReportMs + times.leaseMs)
        return nowMs > last + 2 * times.reportLagMs
    }
}
