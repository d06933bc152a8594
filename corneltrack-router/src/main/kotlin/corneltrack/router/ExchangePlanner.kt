package corneltrack.router

import corneltrack.policy.LeaseTimes
import corneltrack.policy.Support
import corneltrack.policy.rendezvous
import corneltrack.world.Cell
import corneltrack.world.Instance
import corneltrack.world.InstanceId
import corneltrack.world.MemberState

private const val PLAN_TTL_MS = 200L
private const val AVOIDANCE_MS = 5_000L

/** Tells whose slots of [cell] this router asks for, and whether it supports that allocator. */
internal class PlannedReport(val cell: Cell, val allocator: Instance, val supports: Boolean)

/**
 * Decides, cell by cell, which allocator this router turns to.
 *
 * A router reports on the cells of its home group and supports one allocator in each at a time. Not thread-safe.
 *
 * @param ownId this router.
 * @param startMs when this incarnation began.
 */
internal class ExchangePlanner(
    private val ownId: InstanceId,
    private val times: LeaseTimes,
    private val startMs: Long,
) {
    private val supports = HashMap<Cell, Support>()
    private var cachedPlan = emptyMap<Instance, List<PlannedReport>>()
    private var plannedView: RouterView? = null
    private var plannedAtMs = 0L
    private val avoidedUntilMs = HashMap<InstanceId, Long>()

    /** Returns whom to report to about which cells. The plan holds until [view] changes or for [PLAN_TTL_MS]. */
    fun reportsByAllocator(view: RouterView, nowMs: Long): Map<Instance, List<PlannedReport>> {
        if (view !== plannedView || nowMs - plannedAtMs >= PLAN_TTL_MS) {
            plannedView = view
            plannedAtMs = nowMs
            cachedPlan = view.endpointsByCell.keys
                .filter { it.pool in view.configuration.pools }
                .mapNotNull { plan(it, view, nowMs) }
                .groupBy { it.allocator }
        }
        return cachedPlan
    }

    /** Returns whether grants of [allocator] may be used in a home cell. */
    fun isSupported(cell: Cell, allocator: InstanceId): Boolean = supports[cell]?.current == allocator

    /** Records that reports with support leave for their allocator. */
    fun onSent(reports: List<PlannedReport>, nowMs: Long) {
        reports.filter { it.supports }.forEach { supports.getValue(it.cell).extend(it.allocator.id, nowMs) }
    }

    /** Turns away from an allocator that does not answer. */
    fun avoid(allocator: InstanceId, nowMs: Long) {
        avoidedUntilMs[allocator] = nowMs + AVOIDANCE_MS
    }

    /** Turns away from an allocator that is leaving, whose leases have all ended after [releaseMs]. */
    fun onRelease(allocator: InstanceId, releaseMs: Long, nowMs: Long) {
        supports.values.forEach { it.release(allocator, nowMs + releaseMs) }
        avoid(allocator, nowMs)
    }

    private fun plan(cell: Cell, view: RouterView, nowMs: Long): PlannedReport? {
        val group = view.homeGroup(cell)
        val preferred = chooseAllocator(cell, group, view, nowMs)
        val isHome = group.any { it.id == ownId }
        return if (isHome && preferred != null) planHomeCell(cell, preferred, view, nowMs) else null
    }

    /**
     * Plans a report on a home cell.
     *
     * While the support of a previous allocator that can't be reached has not lapsed, the next one is told all but gets
     * no support, so that it knows what runs when its turn comes.
     */
    private fun planHomeCell(cell: Cell, preferred: Instance, view: RouterView, nowMs: Long): PlannedReport {
        val support = supports.getOrPut(cell) { Support(times, startMs) }
        if (support.allows(preferred.id, nowMs)) {
            return PlannedReport(cell, preferred, supports = true)
        }
        val previous = support.current?.let { view.instances[it] }?.takeIf { !isAvoided(it.id, nowMs) }
        return PlannedReport(cell, previous ?: preferred, supports = false)
    }

    /** Returns the router that allocates [cell] as far as can be told from here. */
    fun allocatorOf(cell: Cell, view: RouterView, nowMs: Long): Instance? =
        chooseAllocator(cell, view.homeGroup(cell), view, nowMs)

    private fun chooseAllocator(cell: Cell, group: List<Instance>, view: RouterView, nowMs: Long): Instance? {
        val live = group.filter { it.state == MemberState.LIVE }
        val inService = live.filter { !view.configuration.isOutOfService(it) }.ifEmpty { live }
        val reachable = inService.filter { !isAvoided(it.id, nowMs) }.ifEmpty { inService }
        return rendezvous(cell.toString(), reachable) { it.id.value }
    }

    private fun isAvoided(id: InstanceId, nowMs: Long): Boolean = (avoidedUntilMs[id] ?: Long.MIN_VALUE) > nowMs
}
