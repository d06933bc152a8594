package corneltrack.policy.placement

import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId

/** The time constant, in ms, with which requested, attempted and granted tokens decay. */
private const val DECAY_MS = 2_000.0

/** A shorter time constant, in ms, that shows the end of a flood sooner. */
private const val SHORT_DECAY_MS = 500.0

/** The time after which the last report of an unresponsive peer no longer counts, in ms. */
private const val PEER_REPORT_TIMEOUT_MS = 3_000L

/** The minimum time between two computations of the fair share, in ms. */
private const val UPDATE_INTERVAL_MS = 100L

/** The ratio of attempted to granted tokens above which the fleet counts as contended. */
private const val CONTENTION_THRESHOLD = 1.05

/**
 * The tokens that a workspace may try to place, as a multiple of its fair share. Above 1, so that it takes up capacity
 * that others leave; each try of a flood at engines that peers fill as well displaces others.
 */
private const val ATTEMPTED_SHARE = 2.0

/** The attempts that a workspace whose requests are not read for a while saves up, in ms at its rate. */
private const val ATTEMPT_BURST_MS = 250.0

/** The fair-share ratio below which all requests of a workspace are tried, whatever it requests. */
private const val HELD_BACK_RATIO = 0.9

/**
 * Holds the recent tokens of a workspace, per second.
 *
 * @property requested what its callers asked for.
 * @property granted what engines took.
 * @property attempted the part of [requested] for which an engine was looked for.
 */
public data class WorkspaceRate(val requested: Double, val granted: Double, val attempted: Double = requested) {
    internal operator fun plus(other: WorkspaceRate) =
        WorkspaceRate(requested + other.requested, granted + other.granted, attempted + other.attempted)
}

/**
 * Describes the fair share as a router knows it.
 *
 * @property tokensPerSecond the level up to which each workspace is served; infinite if the fleet is not contended.
 * @property reportingPeers how many peers' rates are part of it.
 * @property refusedSpans for how long most requests of each workspace have been refused.
 */
public data class FairShareView(
    val tokensPerSecond: Double,
    val reportingPeers: Int,
    val refusedSpans: RefusedSpans,
) {
    /**
     * Whether engines refuse some of what is attempted. Only then does a low fair-share ratio mean that a workspace
     * gets too little rather than that it requests little.
     */
    public val contended: Boolean get() = tokensPerSecond.isFinite()
}

/**
 * Compares the tokens granted to each workspace with its max-min fair share.
 *
 * Meant for loads in which some workspaces request many times as much as others. The fair share is the level at
 * which the granted total is used up if each workspace gets the lesser of its demand and that level. Not thread-safe.
 */
public class FairShareTracker {
    private class RateCounter {
        val requested = DecayingRate(DECAY_MS)
        val lately = DecayingRate(SHORT_DECAY_MS)
        val granted = DecayingRate(DECAY_MS)
        val attempted = DecayingRate(DECAY_MS)
        val attemptBudget = TokenBudget(ATTEMPT_BURST_MS)

        /** The part, up to 1, of the requested rate that is left lately. */
        fun remainingDemand(nowMs: Long): Double {
            val rate = requested.perSecond(nowMs)
            return if (rate > 0) minOf(1.0, lately.perSecond(nowMs) / rate) else 1.0
        }

        fun rate(nowMs: Long) =
            WorkspaceRate(requested.perSecond(nowMs), granted.perSecond(nowMs), attempted.perSecond(nowMs))
    }

    private data class PeerRates(val rates: Map<WorkspaceId, WorkspaceRate>, val reportedMs: Long)

    private val counters = HashMap<WorkspaceId, RateCounter>()
    private val peers = HashMap<InstanceId, PeerRates>()
    private var fleetRates: Map<WorkspaceId, WorkspaceRate> = emptyMap()
    private var fairShare = Double.POSITIVE_INFINITY
    private var updatedMs = Long.MIN_VALUE / 2
    private val refusedSpans = RefusedSpans()

    /** Records that [workspace] requested [tokens]. */
    public fun onRequested(workspace: WorkspaceId, tokens: Long, nowMs: Long) {
        val counter = counter(workspace)
        counter.requested.add(tokens, nowMs)
        counter.lately.add(tokens, nowMs)
    }

    /** Records that an engine was looked for to process [tokens] of [workspace], and whether one was [granted]. */
    public fun onAttempted(workspace: WorkspaceId, tokens: Long, granted: Boolean, nowMs: Long) {
        val counter = counter(workspace)
        counter.attempted.add(tokens, nowMs)
        if (granted) counter.granted.add(tokens, nowMs)
    }

    /** Records the rates that [peer] reports. */
    public fun onPeer(peer: InstanceId, rates: Map<WorkspaceId, WorkspaceRate>, nowMs: Long) {
        peers[peer] = PeerRates(rates, nowMs)
    }

    /** Returns the rates at this router alone, without the workspaces that request less than one token per second. */
    public fun ownRates(nowMs: Long): Map<WorkspaceId, WorkspaceRate> =
        counters.mapValues { (_, counter) -> counter.rate(nowMs) }.filterValues { it.requested >= 1 }

    /** Returns the fair share as known now. */
    public fun view(nowMs: Long): FairShareView {
        if (nowMs - updatedMs >= UPDATE_INTERVAL_MS) updateFairShare(nowMs)
        return FairShareView(fairShare, peers.size, refusedSpans)
    }

    /**
     * Returns the tokens granted to [workspace] divided by its fair share: 0 if the fleet is not contended, above 1 if
     * the workspace gets more than its share.
     */
    public fun fairShareRatio(workspace: WorkspaceId, nowMs: Long): Double {
        val share = view(nowMs).tokensPerSecond
        return if (share > 0) (fleetRates[workspace]?.granted ?: 0.0) / share else 0.0
    }

    /**
     * Takes a request of [tokens] from what [workspace] may try to place, and returns false if that is used up.
     *
     * All requests may be tried while the workspace is granted less than its fair share, or requests no more than a few
     * times as much. What a router refuses without reading it uses up nothing.
     */
    public fun tryAttempt(workspace: WorkspaceId, tokens: Long, nowMs: Long): Boolean {
        val budget = counter(workspace).attemptBudget
        val perSecond = allowedAttempts(workspace, nowMs)
        if (perSecond.isInfinite()) {
            budget.clear(nowMs)
            return true
        }
        return budget.tryTake(tokens, perSecond, nowMs)
    }

    /**
     * Returns the tokens a second that this router may try to place for [workspace]; infinite if that is not limited.
     *
     * Each router has a part of the fleet's attempts in proportion to what is requested there, and may use what its
     * peers leave: after a flood has moved to this router, the part of the one that it left would be lost otherwise.
     */
    private fun allowedAttempts(workspace: WorkspaceId, nowMs: Long): Double {
        val fleetAttempts = ATTEMPTED_SHARE * view(nowMs).tokensPerSecond
        val fleet = fleetRates[workspace]
        val counter = counter(workspace)
        val requested = (fleet?.requested ?: 0.0) * counter.remainingDemand(nowMs)
        val isHeldBack = fairShareRatio(workspace, nowMs) >= HELD_BACK_RATIO
        if (fleet == null || !isHeldBack || requested <= fleetAttempts) return Double.POSITIVE_INFINITY
        val ownPart = fleetAttempts * counter.lately.perSecond(nowMs) / requested
        val leftByPeers = fleetAttempts - (fleet.attempted - counter.attempted.perSecond(nowMs))
        return maxOf(ownPart, leftByPeers)
    }

    private fun counter(workspace: WorkspaceId) = counters.getOrPut(workspace) { RateCounter() }

    private fun updateFairShare(nowMs: Long) {
        peers.values.removeIf { nowMs - it.reportedMs > PEER_REPORT_TIMEOUT_MS }
        val sums = HashMap(ownRates(nowMs))
        peers.values.forEach { peer ->
            peer.rates.forEach { (workspace, rate) ->
                sums.merge(workspace, rate, WorkspaceRate::plus)
            }
        }
        fleetRates = sums
        fairShare = maxMinFairShare(sums.values)
        refusedSpans.update(sums, nowMs)
        updatedMs = nowMs
    }
}

/** Returns the max-min fair share for [rates], infinite if the granted tokens cover the attempted ones. */
internal fun maxMinFairShare(rates: Collection<WorkspaceRate>): Double {
    val granted = rates.sumOf { it.granted }
    val contended = rates.sumOf { it.attempted } > granted * CONTENTION_THRESHOLD
    return if (contended) waterFill(rates.map { it.requested }.sorted(), granted) else Double.POSITIVE_INFINITY
}

/** Returns the level up to which water-filling serves [requested], in ascending order, out of [total]. */
private fun waterFill(requested: List<Double>, total: Double): Double {
    var remaining = total
    requested.forEachIndexed { index, demand ->
        val fairShare = remaining / (requested.size - index)
        if (demand > fairShare) return fairShare
        remaining -= demand
    }
    return Double.POSITIVE_INFINITY
}
