package corneltrack.policy.placement

import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import kotlin.math.exp

private const val DECAY_MS = 2_000.0
private const val PEER_REPORT_TIMEOUT_MS = 3_000L
private const val UPDATE_INTERVAL_MS = 100L
private const val CONTENTION_THRESHOLD = 1.05

/** Holds what a workspace requested for and was granted lately, in tokens a second. */
public data class WorkspaceRate(val requested: Double, val granted: Double)

/**
 * Compares what each workspace was granted with its max-min share.
 *
 * Answers a load in which some workspaces ask for many times what others do: the fairShare is the highest grant that, given
 * to every workspace that asks for so much, adds up to what is granted in fleetRates. Not thread-safe.
 */
public class FairShareTracker {
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

    /** Notes that [workspace] requested for [tokens]. */
    public fun onRequested(workspace: WorkspaceId, tokens: Long, nowMs: Long): Unit =
        counter(workspace).add(tokens, 0, nowMs)

    /** Notes that [workspace] was granted [tokens]. */
    public fun onGranted(workspace: WorkspaceId, tokens: Long, nowMs: Long): Unit =
        counter(workspace).add(0, tokens, nowMs)

    /** Takes in the rates of [peer]. */
    public fun onPeer(peer: InstanceId, rates: Map<WorkspaceId, WorkspaceRate>, nowMs: Long) {
        peers[peer] = PeerRates(rates, nowMs)
    }

    /** Returns the rates of this router alone. */
    public fun own(nowMs: Long): Map<WorkspaceId, WorkspaceRate> =
        counters.mapValues { (_, counter) -> counter.rate(nowMs) }.filterValues { it.requested >= 1 }

    /**
     * Returns what [workspace] was granted as a multiple of its share: 0 where nobody is refused, above 1 where it
     * has more than its share.
     */
    public fun fairShareRatio(workspace: WorkspaceId, nowMs: Long): Double {
        if (nowMs - updatedMs >= UPDATE_INTERVAL_MS) update(nowMs)
        return if (fairShare > 0) (fleetRates[workspace]?.granted ?: 0.0) / fairShare else 0.0
    }

    /** Returns whether more is requested than granted, so that a low fairShareRatio means too little, not no wish for more. */
    public fun isContended(nowMs: Long): Boolean {
        if (nowMs - updatedMs >= UPDATE_INTERVAL_MS) update(nowMs)
        return fairShare.isFinite()
    }

    private fun counter(workspace: WorkspaceId) = counters.getOrPut(workspace) { RateCounter() }

    private fun update(nowMs: Long) {
        peers.values.removeIf { nowMs - it.reportedMs > PEER_REPORT_TIMEOUT_MS }
        val sums = HashMap(own(nowMs))
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

/** Returns the max-min fairShare of [rates], infinite where what is granted covers what is requested. */
internal fun maxMinFairShare(rates: Collection<WorkspaceRate>): Double {
    val granted = rates.sumOf { it.granted }
    val contended = rates.sumOf { it.requested } > granted * CONTENTION_THRESHOLD
    return if (contended) waterFill(rates.map { it.requested }.sorted(), granted) else Double.POSITIVE_INFINITY
}

/** Returns the highest fairShare at which the least of it and each of [requested], which rise, add up to [total]. */
private fun waterFill(requested: List<Double>, total: Double): Double {
    var remaining = total
    requested.forEachIndexed { index, demand ->
        val fairShare = remaining / (requested.size - index)
        if (demand > fairShare) return fairShare
        remaining -= demand
    }
    return Double.POSITIVE_INFINITY
}
