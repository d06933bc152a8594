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

/**
 * A report on [cell] that this router is to send.
 *
 * @property allocator the router that receives the report as the allocator of [cell].
 * @property supports whether this router supports [allocator].
 */
internal class PlannedReport(val cell: Cell, val allocator: Instance, val supports: Boolean)

/**
 * Decides to which allocator this router reports on each cell.
 *
 * A router reports on the cells to whose home group it belongs, and supports one allocator in each of them at a time.
 * Not thread-safe.
 *
 * @param ownId the id of this router.
 * @param startMs when this incarnation started, in ms of the router's monotonic clock.
 */
internal class ExchangePlanner(
    private val ownId: InstanceId,
    private val times: LeaseTimes,
    private val startMs: Long,
) {
    private val supportByCell = HashMap<Cell, Support>()
    private var cachedPlan = emptyMap<Instance, List<PlannedReport>>()
    private var plannedView: RouterView? = null
    private var plannedAtMs = 0L
    private val avoidedUntilMs = HashMap<InstanceId, Long>()

    /** Returns the reports to send by allocator. The plan is cached for [PLAN_TTL_MS] or until [view] changes. */
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

    /** Returns whether grants of [allocator] may be used in [cell], to whose home group this router belongs. */
    fun isSupported(cell: Cell, allocator: InstanceId): Boolean = supportByCell[cell]?.current == allocator

    /** Records that [reports] are sent to their allocators, which extends the support that they carry. */
    fun onSent(reports: List<PlannedReport>, nowMs: Long) {
        reports.filter { it.supports }.forEach { supportByCell.getValue(it.cell).extend(it.allocator.id, nowMs) }
    }

    /** Avoids an allocator that does not respond, for [AVOIDANCE_MS]. */
    fun avoid(allocator: InstanceId, nowMs: Long) {
        avoidedUntilMs[allocator] = nowMs + AVOIDANCE_MS
    }

    /** Avoids an allocator that shuts down, and ends its support in [releaseMs], when all its leases have expired. */
    fun onRelease(allocator: InstanceId, releaseMs: Long, nowMs: Long) {
        supportByCell.values.forEach { it.release(allocator, nowMs + releaseMs) }
        avoid(allocator, nowMs)
    }

    private fun plan(cell: Cell, view: RouterView, nowMs: Long): PlannedReport? {
        val group = view.homeGroup(cell)
        val preferred = chooseAllocator(cell, group, view, nowMs)
        val isHome = group.any { it.id == ownId }
        return if (isHome && preferred != null) planHomeCell(cell, preferred, view, nowMs) else null
    }

    /**
     * Plans the report on a cell to whose home group this router belongs.
     *
     * Until [Support.allows] accepts the preferred allocator, reports carry no support. They go to the previous
     * allocator unless it is avoided, otherwise to the preferred one, which then knows the running requests when it
     * takes over.
     */
    private fun planHomeCell(cell: Cell, preferred: Instance, view: RouterView, nowMs: Long): PlannedReport {
        val support = supportByCell.getOrPut(cell) { Support(times, startMs) }
        if (support.allows(preferred.id, nowMs)) {
            return PlannedReport(cell, preferred, supports = true)
        }
        val previous = support.current?.let { view.instances[it] }?.takeIf { !isAvoided(it.id, nowMs) }
        return PlannedReport(cell, previous ?: preferred, supports = false)
    }

    /** Returns the router that should allocate [cell], or null if its home group has no live router. */
    fun allocatorOf(cell: Cell, view: RouterView, nowMs: Long): Instance? =
        chooseAllocator(cell, view.homeGroup(cell), view, nowMs)

    /**
     * Chooses the allocator of [cell] from its home [group] by rendezvous hashing.
     *
     * Only live routers are eligible. One that is out of service or avoided is chosen only if there is no other.
     */
    private fun chooseAllocator(cell: Cell, group: List<Instance>, view: RouterView, nowMs: Long): Instance? {
        val live = group.filter { it.state == MemberState.LIVE }
        val inService = live.filter { !view.configuration.isOutOfService(it) }.ifEmpty { live }
        val reachable = inService.filter { !isAvoided(it.id, nowMs) }.ifEmpty { inService }
        return rendezvous(cell.toString(), reachable) { it.id.value }
    }

    private fun isAvoided(id: InstanceId, nowMs: Long): Boolean = (avoidedUntilMs[id] ?: Long.MIN_VALUE) > nowMs
}
