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

/**
 * An allocator's record of one router, or of another cell's allocator, that holds or requests slots of its cell.
 *
 * Not thread-safe.
 *
 * @property local whether the holder is a router of the cell's home group.
 * @property sequence the sequence number of the last grant to the holder.
 * @property running the requests in flight by endpoint, as last reported.
 * @property granted the slots of the last grant by endpoint.
 * @property committed the slots that the holder may still be using by endpoint: those granted, and those recalled but
 * not yet known to be free.
 */
internal class SlotHolder(val id: InstanceId, val incarnation: String) {
    val origin: String get() = "$id/$incarnation"

    /** The number of slots that the holder may be using. */
    val held: Int get() = committed.values.sum()

    /** The number of slots that the holder could use. */
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

    /** The number of slots assigned by the latest division, without changes inside the hysteresis. */
    var entitlement = 0
        private set

    /**
     * Updates the entitlement to the [target] of the latest division.
     *
     * A difference within the hysteresis is ignored, because a slot that moves is idle until both routers have
     * reported.
     */
    fun onDivision(target: Int) {
        val lent = granted.values.sum()
        val hysteresis = max(1, lent / if (local) HYSTERESIS_DIVISOR else REMOTE_HYSTERESIS_DIVISOR)
        val unchanged = lent > 0 && target > 0 && abs(target - lent) <= hysteresis && lent <= demand
        entitlement = if (unchanged) lent else target
    }

    /**
     * Records a report.
     *
     * If it acknowledges the latest grant, recalled slots stay committed only while a request runs in them.
     */
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

    /** Returns whether the reported requests of this holder are current: its lease is valid or it just reported. */
    fun isResponsive(nowMs: Long): Boolean = leaseUntilMs > nowMs || nowMs - lastReportMs < REPORT_TTL_MS

    /**
     * Returns whether free slots are reserved for this holder's entitlement.
     *
     * The reservation starts shortly before its next report is expected and ends if the report is overdue.
     */
    fun hasReservation(nowMs: Long): Boolean =
        nowMs - lastReportMs in reportPeriodMs - RESERVATION_LEAD_MS..RESERVATION_TTL_MS

    fun demands(): List<SlotDemand> = workspaces.values.map {
        SlotDemand(it.workspace, id, it.waiting, it.running, it.oldestWaitMs, local)
    }
}

/** Returns the larger count of both maps for each endpoint. */
internal fun Map<EndpointId, Int>.mergedMax(other: Map<EndpointId, Int>): Map<EndpointId, Int> {
    val merged = HashMap(this)
    other.forEach { (endpoint, count) -> merged.merge(endpoint, count, ::maxOf) }
    return merged
}

/** Holds the slot holders of one cell and removes unresponsive ones after their lease. Not thread-safe. */
internal class SlotHolders(private val times: LeaseTimes) {
    private val byId = HashMap<InstanceId, SlotHolder>()
    private val replaced = mutableListOf<SlotHolder>()

    val all: Collection<SlotHolder> get() = byId.values

    /** Returns the holder of an incarnation. Slots of a replaced one stay committed until it has expired. */
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

    /** Returns the number of slots of [endpoint] that holders other than [except] may be using. */
    fun committed(endpoint: EndpointId, except: SlotHolder? = null): Int =
        (byId.values + replaced).filter { it !== except }.sumOf { it.committed[endpoint] ?: 0 }

    /**
     * Returns the requests that have waited at routers of the home group for at least [overdueMs], by workspace.
     *
     * @param held the number of the lender's slots in use; they are attributed to workspaces by their overdue requests.
     * @param served the cost served in this cell by workspace.
     */
    fun overdueReports(overdueMs: Long, held: Int, served: Map<WorkspaceId, Long>): List<WorkspaceReport> {
        val localReports = byId.values.filter { it.local }.flatMap { it.workspaces.values }.groupBy { it.workspace }
        val waiting = localReports.mapValues { (_, reports) ->
            reports.filter { it.oldestWaitMs >= overdueMs }.sumOf { it.waiting }
        }
        val total = max(1, waiting.values.sum())
        return (localReports.keys + served.keys).map { workspace ->
            val count = waiting[workspace] ?: 0
            val running = localReports[workspace].orEmpty().sumOf { it.running }
            val atLender = min(running, held * count / total)
            WorkspaceReport(
                workspace = workspace,
                waiting = min(count, MAXIMUM_REPORTED_WAITING),
                running = atLender,
                served = served[workspace] ?: 0,
                oldestWaitMs = localReports[workspace].orEmpty().maxOfOrNull { it.oldestWaitMs } ?: 0,
                runningInOtherCells = running - atLender,
            )
        }
    }

    /** Returns the number of requests of each workspace that hold slots of other cells. */
    fun runningInOtherCells(): Map<WorkspaceId, Int> =
        byId.values.filterNot { it.local }
            .flatMap { it.workspaces.values }
            .groupBy { it.workspace }
            .mapValues { (_, reports) -> reports.sumOf { it.runningInOtherCells } }

    /** Returns the number of requests that responsive holders run on [endpoint]. */
    fun running(endpoint: EndpointId, nowMs: Long): Int =
        byId.values.filter { it.isResponsive(nowMs) }.sumOf { it.running[endpoint] ?: 0 }

    /** Returns whether any of [routers] has no valid lease, so that it may have requests running unreported. */
    fun anyWithoutLease(routers: Set<InstanceId>, nowMs: Long): Boolean =
        routers.any { (byId[it]?.leaseUntilMs ?: 0) <= nowMs }

    /** Returns the number of slots of [endpoint] that are still committed to unresponsive holders. */
    fun committedToUnresponsive(endpoint: EndpointId, nowMs: Long): Int {
        val unresponsive =
            byId.values.filterNot { it.isResponsive(nowMs) } + replaced.filter { it.leaseUntilMs <= nowMs }
        return unresponsive.sumOf { it.committed[endpoint] ?: 0 }
    }

    /**
     * Removes holders whose lease expired so long ago that the endpoints' reports show the requests they left running.
     *
     * @return the origins of the removed holders.
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
