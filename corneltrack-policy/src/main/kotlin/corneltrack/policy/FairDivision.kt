package corneltrack.policy

import corneltrack.world.InstanceId
import corneltrack.world.Terms
import corneltrack.world.WorkspaceId
import java.util.PriorityQueue
import kotlin.math.floor
import kotlin.math.max

/** Added to the virtual service of demand from outside the home group, in the units of [divideSlots]. */
private const val REMOTE_PENALTY = 2.5

private const val OVERDUE_FACTOR = 2
private const val TIE_BREAK_WEIGHT = 1e-3
private const val OVERDUE_WAIT_MS = 2_000L

/**
 * The demand of one workspace for slots at one router.
 *
 * @property waiting the number of requests that wait for a slot.
 * @property running the number of requests that hold a slot.
 * @property oldestWaitMs how long the oldest waiting request has waited, in ms.
 * @property local whether the router belongs to the cell's home group. Other demand has a penalty, since its traffic
 * crosses regions.
 */
public data class SlotDemand(
    val workspace: WorkspaceId,
    val instance: InstanceId,
    val waiting: Int,
    val running: Int,
    val oldestWaitMs: Long = 0,
    val local: Boolean = true,
) {
    internal val total: Int get() = waiting + running
}

/**
 * The result of [divideSlots].
 *
 * @property targets the number of slots assigned to each router.
 * @property deferred the workspaces that have reached their cap while others wait.
 * @property spare the number of slots without demand.
 */
public data class SlotDivision(
    val targets: Map<InstanceId, Int>,
    val deferred: Set<WorkspaceId>,
    val spare: Int,
)

/**
 * Divides [slots] among [demands] by weighted max-min fairness that accounts for the service received so far.
 *
 * Progressive filling: each slot goes to the workspace with the lowest virtual service, where a slot already assigned
 * counts as one unit of virtual service divided by the weight. A workspace that has reached its cap is skipped while
 * another one can use the slot; slots still unused after that are assigned beyond the caps. Demand of routers outside
 * the home group has a penalty, unless its requests have waited much longer than those of the home group.
 *
 * @param virtualService returns the virtual service of a workspace. One unit is the cost that a slot serves in the time
 * by which slots should have moved between workspaces.
 * @param terms returns the terms of a workspace under the agreement.
 * @param runningInOtherCells the number of slots that each workspace holds in other cells; they count towards its share
 * but not towards its cap.
 */
public fun divideSlots(
    slots: Int,
    demands: List<SlotDemand>,
    virtualService: (WorkspaceId) -> Double,
    terms: (WorkspaceId) -> Terms,
    runningInOtherCells: Map<WorkspaceId, Int> = emptyMap(),
): SlotDivision {
    val filling = ProgressiveFilling(slots, virtualService, terms, runningInOtherCells)
    demands.filter { it.total > 0 }
        .groupBy { it.workspace to it.local }
        .forEach { (key, group) -> filling.add(key.first, key.second, group) }
    val spare = filling.fill()
    val targets = HashMap<InstanceId, Int>()
    filling.shares.forEach { share -> distribute(share.assigned, share.demands, targets) }
    return SlotDivision(targets, filling.deferred, spare)
}

/**
 * The slots assigned to one workspace at the routers of the home group, or at the other routers.
 *
 * @property local whether the demand is that of the home group.
 * @property wanted the number of slots that all [demands] together can use.
 */
private class WorkspaceShare(
    val workspace: WorkspaceId,
    val local: Boolean,
    val demands: List<SlotDemand>,
    val wanted: Int,
) {
    val oldestWaitMs = demands.maxOf { it.oldestWaitMs }
    var assigned = 0
}

/** The state of the progressive filling of one division. */
private class ProgressiveFilling(
    private val slots: Int,
    private val virtualService: (WorkspaceId) -> Double,
    private val terms: (WorkspaceId) -> Terms,
    private val runningInOtherCells: Map<WorkspaceId, Int>,
) {
    val shares = mutableListOf<WorkspaceShare>()
    val deferred = HashSet<WorkspaceId>()
    private val held = HashMap<WorkspaceId, Int>()
    private val localWaitsMs = HashMap<WorkspaceId, Long>()

    fun add(workspace: WorkspaceId, local: Boolean, demands: List<SlotDemand>) {
        val share = WorkspaceShare(workspace, local, demands, demands.sumOf { it.total })
        shares += share
        if (local) {
            localWaitsMs[workspace] = share.oldestWaitMs
        }
    }

    fun fill(): Int {
        val remaining = fill(slots, shares) { share -> heldBy(share) < capOf(share) }
        val unsatisfied = shares.filter { it.assigned < it.wanted }
        val waiting = unsatisfied.mapTo(HashSet()) { it.workspace }
        if (remaining < slots && shares.any { it.workspace !in waiting }) {
            deferred += unsatisfied.filter { heldBy(it) >= capOf(it) }.map { it.workspace }
        }
        return if (remaining == 0) 0 else fill(remaining, unsatisfied) { true }
    }

    private fun fill(available: Int, candidates: List<WorkspaceShare>, eligible: (WorkspaceShare) -> Boolean): Int {
        var remaining = available
        val queue = PriorityQueue<Pair<Double, WorkspaceShare>>(compareBy({ it.first }, { it.second.workspace }))
        candidates.filter { it.assigned < it.wanted }.forEach { queue += key(it) to it }
        while (remaining > 0) {
            val (queuedKey, share) = queue.poll() ?: break
            when {
                key(share) > queuedKey -> queue += key(share) to share
                eligible(share) -> {
                    share.assigned++
                    held.merge(share.workspace, 1, Int::plus)
                    remaining--
                    if (share.assigned < share.wanted) queue += key(share) to share
                }
            }
        }
        return remaining
    }

    private fun key(share: WorkspaceShare): Double {
        val penalty = if (share.local || isOverdue(share)) 0.0 else REMOTE_PENALTY
        val heldInAllCells = heldBy(share) + (runningInOtherCells[share.workspace] ?: 0)
        val tieBreak = TIE_BREAK_WEIGHT * share.assigned / share.wanted
        return virtualService(share.workspace) + penalty + heldInAllCells / terms(share.workspace).weight + tieBreak
    }

    private fun isOverdue(share: WorkspaceShare): Boolean {
        val localWaitMs = localWaitsMs[share.workspace] ?: return false
        return share.oldestWaitMs > OVERDUE_FACTOR * localWaitMs + OVERDUE_WAIT_MS
    }

    private fun heldBy(share: WorkspaceShare): Int = held[share.workspace] ?: 0

    private fun capOf(share: WorkspaceShare): Int = max(1, floor(terms(share.workspace).cap * slots).toInt())
}

/**
 * The part of a workspace's slots that one router gets, before the slots left by rounding down are assigned.
 *
 * @property starved whether the router would get no slot though it runs nothing and its oldest request is overdue.
 * @property wouldLoseRunning whether the router would get fewer slots than it has running requests.
 */
private class RouterShare(val demand: SlotDemand, assigned: Int, total: Int) {
    private val exact = assigned.toDouble() * demand.total / total
    val base = floor(exact).toInt()
    val remainder = exact - base
    val starved = base == 0 && demand.running == 0 && demand.oldestWaitMs > OVERDUE_WAIT_MS
    val wouldLoseRunning = demand.running > base
}

/** Distributes [assigned] slots of one workspace to its routers by demand, and rounds so that few slots move. */
private fun distribute(assigned: Int, demands: List<SlotDemand>, targets: MutableMap<InstanceId, Int>) {
    val total = demands.sumOf { it.total }
    if (total == 0 || assigned == 0) {
        return
    }
    val shares = demands.map { RouterShare(it, assigned, total) }
    var remaining = assigned - shares.sumOf { it.base }
    val order =
        compareBy<RouterShare>({ !it.starved }, { !it.wouldLoseRunning }, { -it.remainder }, { it.demand.instance })
    for (share in shares.sortedWith(order)) {
        val extra = if (remaining > 0 && share.base < share.demand.total) 1 else 0
        remaining -= extra
        targets.merge(share.demand.instance, share.base + extra, Int::plus)
    }
}
