package corneltrack.policy

import corneltrack.world.InstanceId
import corneltrack.world.Terms
import corneltrack.world.WorkspaceId
import java.util.PriorityQueue
import kotlin.math.floor
import kotlin.math.max

private const val REMOTE_HANDICAP = 2.5
private const val LATE_FACTOR = 2
private const val TIE_WEIGHT = 1e-3
private const val OVERDUE_WAIT_MS = 2_000L

/**
 * Wants slots for one workspace at one router.
 *
 * @property local whether the router belongs to the cell's home group; others are served at a handicap, since their
 * traffic crosses regions.
 */
public data class Demand(
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
 * Holds the result of [divide].
 *
 * @property targets the slots due to each router.
 * @property deferred the workspaces held back by their cap while others wait.
 * @property spare the slots that nobody wants.
 */
public data class Division(
    val targets: Map<InstanceId, Int>,
    val deferred: Set<WorkspaceId>,
    val spare: Int,
)

/**
 * Divides [slots] among [demands] by weighted max-min fairness, corrected by the service received so far.
 *
 * Slots go one at a time to the workspace whose virtual service is lowest, counting each slot already assigned as one
 * unit of virtual service. A workspace at its cap is passed over while another one can use the slot; afterwards unused
 * slots are lent to it all the same. What a workspace wants from afar is served at a handicap, unless it has waited
 * much longer there than here.
 *
 * @param virtual the virtual service of a workspace, in units of what one slot serves until slots should have moved.
 * @param terms the agreement's terms of a workspace.
 * @param elsewhere the slots that each workspace holds in other cells; they count towards its share, not its cap.
 */
public fun divide(
    slots: Int,
    demands: List<Demand>,
    virtual: (WorkspaceId) -> Double,
    terms: (WorkspaceId) -> Terms,
    elsewhere: Map<WorkspaceId, Int> = emptyMap(),
): Division {
    val filling = Filling(slots, virtual, terms, elsewhere)
    demands.filter { it.total > 0 }
        .groupBy { it.workspace to it.local }
        .forEach { (key, group) -> filling.add(key.first, key.second, group) }
    val spare = filling.fill()
    val targets = HashMap<InstanceId, Int>()
    filling.shares.forEach { share -> spread(share.assigned, share.demands, targets) }
    return Division(targets, filling.deferred, spare)
}

private class Share(
    val workspace: WorkspaceId,
    val local: Boolean,
    val demands: List<Demand>,
    val wanted: Int,
) {
    val oldestWaitMs = demands.maxOf { it.oldestWaitMs }
    var assigned = 0
}

private class Filling(
    private val slots: Int,
    private val virtual: (WorkspaceId) -> Double,
    private val terms: (WorkspaceId) -> Terms,
    private val elsewhere: Map<WorkspaceId, Int>,
) {
    val shares = mutableListOf<Share>()
    val deferred = HashSet<WorkspaceId>()
    private val held = HashMap<WorkspaceId, Int>()
    private val localWaits = HashMap<WorkspaceId, Long>()

    fun add(workspace: WorkspaceId, local: Boolean, demands: List<Demand>) {
        val share = Share(workspace, local, demands, demands.sumOf { it.total })
        shares += share
        if (local) {
            localWaits[workspace] = share.oldestWaitMs
        }
    }

    fun fill(): Int {
        val left = fill(slots, shares) { share -> heldBy(share) < capOf(share) }
        val capped = shares.filter { it.assigned < it.wanted }
        val waiting = capped.mapTo(HashSet()) { it.workspace }
        if (left < slots && shares.any { it.workspace !in waiting }) {
            deferred += capped.filter { heldBy(it) >= capOf(it) }.map { it.workspace }
        }
        return if (left == 0) 0 else fill(left, capped) { true }
    }

    private fun fill(available: Int, among: List<Share>, eligible: (Share) -> Boolean): Int {
        var left = available
        val queue = PriorityQueue<Pair<Double, Share>>(compareBy({ it.first }, { it.second.workspace }))
        among.filter { it.assigned < it.wanted }.forEach { queue += key(it) to it }
        while (left > 0) {
            val (recorded, share) = queue.poll() ?: break
            when {
                key(share) > recorded -> queue += key(share) to share
                eligible(share) -> {
                    share.assigned++
                    held.merge(share.workspace, 1, Int::plus)
                    left--
                    if (share.assigned < share.wanted) queue += key(share) to share
                }
            }
        }
        return left
    }

    private fun key(share: Share): Double {
        val handicap = if (share.local || isLate(share)) 0.0 else REMOTE_HANDICAP
        val all = heldBy(share) + (elsewhere[share.workspace] ?: 0)
        val tie = TIE_WEIGHT * share.assigned / share.wanted
        return virtual(share.workspace) + handicap + all / terms(share.workspace).weight + tie
    }

    private fun isLate(share: Share): Boolean {
        val here = localWaits[share.workspace] ?: return false
        return share.oldestWaitMs > LATE_FACTOR * here + OVERDUE_WAIT_MS
    }

    private fun heldBy(share: Share): Int = held[share.workspace] ?: 0

    private fun capOf(share: Share): Int = max(1, floor(terms(share.workspace).cap * slots).toInt())
}

/** The part of a workspace's slots that goes to one router before rounding up. */
private class Part(val demand: Demand, assigned: Int, total: Int) {
    private val exact = assigned.toDouble() * demand.total / total
    val base = floor(exact).toInt()
    val remainder = exact - base
    val overdue = base == 0 && demand.running == 0 && demand.oldestWaitMs > OVERDUE_WAIT_MS
    val keeps = demand.running > base
}

/** Spreads [assigned] slots of one workspace over its routers in proportion to demand, moving as few as it can. */
private fun spread(assigned: Int, demands: List<Demand>, targets: MutableMap<InstanceId, Int>) {
    val total = demands.sumOf { it.total }
    if (total == 0 || assigned == 0) {
        return
    }
    val parts = demands.map { Part(it, assigned, total) }
    var left = assigned - parts.sumOf { it.base }
    val order = compareBy<Part>({ !it.overdue }, { !it.keeps }, { -it.remainder }, { it.demand.instance })
    for (part in parts.sortedWith(order)) {
        val extra = if (left > 0 && part.base < part.demand.total) 1 else 0
        left -= extra
        targets.merge(part.demand.instance, part.base + extra, Int::plus)
    }
}
