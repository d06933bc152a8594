package corneltrack.policy.placement

import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import kotlin.math.exp

/** The time constant, in ms, with which requested and granted tokens decay. */
private const val DECAY_MS = 2_000.0

/** The time after which the last report of an unresponsive peer no longer counts, in ms. */
private const val PEER_REPORT_TIMEOUT_MS = 3_000L

/** The minimum time between two computations of the fair share, in ms. */
private const val UPDATE_INTERVAL_MS = 100L

/** The ratio of requested to granted tokens above which the fleet counts as contended. */
private const val CONTENTION_THRESHOLD = 1.05

/** Holds the tokens that a workspace recently requested and was granted, per second. */
public data class WorkspaceRate(val requested: Double, val granted: Double)

/**
 * Compares the tokens granted to each workspace with its max-min fair share.
 *
 * Meant for loads in which some workspaces request many times as much as others. The fair share is the level at
 * which the granted total is used up if each workspace gets the lesser of its demand and that level. Not thread-safe.
 */
public class FairShareTracker {
    /** Sums tokens with exponential decay, so that a sum divided by the time constant is the recent rate. */
    private class RateCounter {
        private var requested = 0.0
        private var granted = 0.0
        private var decayedMs = 0L

        fun add(requestedTokens: Long, grantedTokens: Long, nowMs: Long) {
            decay(nowMs)
            requested += requestedTokens
            granted += grantedTokens
        }

        fun rate(nowMs: Long): WorkspaceRate {
            decay(nowMs)
            return WorkspaceRate(requested / DECAY_SECONDS, granted / DECAY_SECONDS)
        }

        private fun decay(nowMs: Long) {
            if (nowMs > decayedMs) {
                val factor = exp((decayedMs - nowMs) / DECAY_MS)
                requested *= factor
                granted *= factor
                decayedMs = nowMs
            }
        }
    }

    private data class PeerRates(val rates: Map<WorkspaceId, WorkspaceRate>, val reportedMs: Long)

    private val counters = HashMap<WorkspaceId, RateCounter>()
    private val peers = HashMap<InstanceId, PeerRates>()
    private var fleetRates: Map<WorkspaceId, WorkspaceRate> = emptyMap()
    private var fairShare = Double.POSITIVE_INFINITY
    private var updatedMs = Long.MIN_VALUE / 2

    /** Records that [workspace] requested [tokens]. */
    public fun onRequested(workspace: WorkspaceId, tokens: Long, nowMs: Long): Unit =
        counter(workspace).add(tokens, 0, nowMs)

    /** Records that [workspace] was granted [tokens]. */
    public fun onGranted(workspace: WorkspaceId, tokens: Long, nowMs: Long): Unit =
        counter(workspace).add(0, tokens, nowMs)

    /** Records the rates that [peer] reports. */
    public fun onPeer(peer: InstanceId, rates: Map<WorkspaceId, WorkspaceRate>, nowMs: Long) {
        peers[peer] = PeerRates(rates, nowMs)
    }

    /** Returns the rates at this router alone, without the workspaces that request less than one token per second. */
    public fun ownRates(nowMs: Long): Map<WorkspaceId, WorkspaceRate> =
        counters.mapValues { (_, counter) -> counter.rate(nowMs) }.filterValues { it.requested >= 1 }

    /**
     * Returns the tokens granted to [workspace] divided by its fair share: 0 if the fleet is not contended, above 1 if
     * the workspace gets more than its share.
     */
    public fun fairShareRatio(workspace: WorkspaceId, nowMs: Long): Double {
        if (nowMs - updatedMs >= UPDATE_INTERVAL_MS) updateFairShare(nowMs)
        return if (fairShare > 0) (fleetRates[workspace]?.granted ?: 0.0) / fairShare else 0.0
    }

    /**
     * Whether more is requested than granted. Only then does a low fair-share ratio mean that a workspace gets too
     * little rather than that it requests little.
     */
    public fun isContended(nowMs: Long): Boolean {
        if (nowMs - updatedMs >= UPDATE_INTERVAL_MS) updateFairShare(nowMs)
        return fairShare.isFinite()
    }

    private fun counter(workspace: WorkspaceId) = counters.getOrPut(workspace) { RateCounter() }

    private fun updateFairShare(nowMs: Long) {
        peers.values.removeIf { nowMs - it.reportedMs > PEER_REPORT_TIMEOUT_MS }
        val sums = HashMap(ownRates(nowMs))
        peers.values.forEach { peer ->
            peer.rates.forEach { (workspace, rate) ->
                val sum = sums[workspace] ?: WorkspaceRate(0.0, 0.0)
                sums[workspace] = WorkspaceRate(sum.requested + rate.requested, sum.granted + rate.granted)
            }
        }
        fleetRates = sums
        fairShare = maxMinFairShare(sums.values)
        updatedMs = nowMs
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val DECAY_SECONDS = DECAY_MS / MS_PER_SECOND
    }
}

/** Returns the max-min fair share for [rates], infinite if the granted tokens cover the requested ones. */
internal fun maxMinFairShare(rates: Collection<WorkspaceRate>): Double {
    val granted = rates.sumOf { it.granted }
    val contended = rates.sumOf { it.requested } > granted * CONTENTION_THRESHOLD
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
