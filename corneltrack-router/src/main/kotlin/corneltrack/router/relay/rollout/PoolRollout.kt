package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.RolloutOrder
import corneltrack.policy.rollout.RolloutPhase
import corneltrack.policy.rollout.RolloutStatus
import corneltrack.policy.rollout.VersionsInForce
import corneltrack.policy.rollout.versionsInForce
import corneltrack.world.PoolId

/** How long no request may have needed the baseline before a router closes it during a shift, in ms. */
private const val SPARE_QUIET_MS = 1_000L

/** How long an ended order is reported, for peers that cannot read the store, in ms. */
private const val ENDED_REPORT_MS = 30_000L

/** The weight of a response's duration in the estimate of how long responses take. */
private const val DURATION_SMOOTHING = 0.02

/** Assumed before the first response. */
private const val INITIAL_DURATION_MS = 1_000.0

/** What this router knows about the versions of one pool. Only used on the event loop. */
internal class PoolRollout(val pool: PoolId) {
    private val inFlight = HashMap<String, Int>()

    /** When a request last went to the baseline during a shift, or the shift became known, in monotonic ms. */
    private var spareUsedMs = 0L
    private var statusReadMs = 0L

    /** The newest valid order; null if there is none or it was removed. */
    var order: RolloutOrder? = null
        private set

    /** What is kept about [order]. */
    var trial: OrderTrial? = null
        private set

    /** The newest status; null if there is none. */
    var status: RolloutStatus? = null
        private set

    /** When the order of an open status was found removed, in ms since the epoch. */
    var removedMs: Long? = null
        private set

    /** Whether this router sends nothing more to the baseline, whatever happens, while the order shifts. */
    var baselineClosed: Boolean = false
        private set

    /** The time that most responses of the pool take, in ms: a decaying maximum. */
    var durationMs: Double = INITIAL_DURATION_MS
        private set

    /** The phase that peers are told: a router that has stopped sends to the baseline again. */
    val reportedPhase: RolloutPhase?
        get() = orderStatus?.phase?.let { if (trial?.bad == true && !it.ended) RolloutPhase.ROLLED_BACK else it }

    /** The status of [order]; null if there is none yet. */
    val orderStatus: RolloutStatus? get() = status?.takeIf { it.orderId == order?.orderId }

    /** Whether [order] has not ended, or the status is open although its order was removed. */
    val open: Boolean
        get() = if (order == null) status?.phase?.ended == false else orderStatus?.phase?.ended != true

    /** Whether new requests go to the target version alone. */
    private val shifting: Boolean get() = orderStatus?.phase == RolloutPhase.SHIFTING && trial?.bad != true

    /** Whether peers should hear of the order. */
    fun isReported(nowMs: Long): Boolean = open || order != null && nowMs - statusReadMs < ENDED_REPORT_MS

    /** Replaces the order, with what is kept about it; null removes it. */
    fun onOrder(next: OrderTrial?, wallClockMs: Long) {
        order = next?.order
        trial = next
        removedMs = wallClockMs.takeIf { next == null }
    }

    /**
     * Replaces the status.
     *
     * @param starting whether this router has just started, and so has no request at the baseline.
     */
    fun onStatus(next: RolloutStatus?, starting: Boolean, nowMs: Long) {
        val shiftBegins = next?.phase == RolloutPhase.SHIFTING && status?.phase != RolloutPhase.SHIFTING
        status = next
        statusReadMs = nowMs
        if (next?.phase != RolloutPhase.SHIFTING) baselineClosed = false
        if (shiftBegins) {
            spareUsedMs = nowMs
            baselineClosed = starting
        }
    }

    /** Returns the versions that requests may go to, given those that are [listed]. */
    fun inForce(listed: Set<String>): VersionsInForce =
        versionsInForce(listed, order, status, stopped = trial?.bad == true)

    /** Returns the versions that serve a request if the target cannot during a shift; empty if none may. */
    fun spare(listed: Set<String>): Set<String> {
        val current = status.takeIf { shifting && !baselineClosed } ?: return emptySet()
        return if (current.baseline.isEmpty()) listed - current.target else setOf(current.baseline)
    }

    /** The requests that this router has at other versions than the target; at least 1 while it may send more. */
    val oldRequests: Int
        get() {
            val running = inFlight.filterKeys { it != order?.target }.values.sum()
            return if (baselineClosed) running else maxOf(1, running)
        }

    /** Records that a request begins ([change] 1) or ends ([change] -1) at an endpoint of [version]. */
    fun onInFlight(version: String, change: Int, nowMs: Long) {
        inFlight.merge(version, change) { count, by -> (count + by).takeIf { it > 0 } }
        if (shifting && change > 0 && version != order?.target) spareUsedMs = nowMs
    }

    /** Records how long a response took. */
    fun onDuration(elapsedMs: Long) {
        durationMs = maxOf(elapsedMs.toDouble(), durationMs + DURATION_SMOOTHING * (elapsedMs - durationMs))
    }

    /** Closes the baseline for this router once a shift does not need it any more, or its time is over. */
    fun closeBaseline(nowMs: Long, wallClockMs: Long) {
        val current = status?.takeIf { shifting && !baselineClosed } ?: return
        val running = inFlight.keys.any { it != current.target }
        val overdue = wallClockMs >= current.startedWallClockMs + (order?.durationMs ?: 0)
        baselineClosed = overdue || !running && nowMs - spareUsedMs >= SPARE_QUIET_MS
    }
}
