package corneltrack.policy.placement

import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import kotlin.math.exp

private const val MEMORY_MS = 2_000.0
private const val PEER_SILENCE_MS = 3_000L
private const val LEVEL_PERIOD_MS = 100L
private const val CONTENTION = 1.05

/** Holds what a workspace asked for and was granted lately, in tokens a second. */
public data class WorkspaceRate(val asked: Double, val granted: Double)

/**
 * Compares what each workspace was granted with its max-min share.
 *
 * Answers a load in which some workspaces ask for many times what others do: the level is the highest grant that, given
 * to every workspace that asks for so much, adds up to what is granted in all. Not thread-safe.
 */
public class WorkspaceShares {
    private class Meter {
        private var asked = 0.0
        private var granted = 0.0
        private var atMs = 0L

        fun add(askedTokens: Long, grantedTokens: Long, nowMs: Long) {
            decay(nowMs)
            asked += askedTokens
            granted += grantedTokens
        }

        fun rate(nowMs: Long): WorkspaceRate {
            decay(nowMs)
            return WorkspaceRate(asked / MEMORY_SECONDS, granted / MEMORY_SECONDS)
        }

        private fun decay(nowMs: Long) {
            if (nowMs > atMs) {
                val factor = exp((atMs - nowMs) / MEMORY_MS)
                asked *= factor
                granted *= factor
                atMs = nowMs
            }
        }
    }

    private data class PeerRates(val rates: Map<WorkspaceId, WorkspaceRate>, val atMs: Long)

    private val meters = HashMap<WorkspaceId, Meter>()
    private val peers = HashMap<InstanceId, PeerRates>()
    private var all: Map<WorkspaceId, WorkspaceRate> = emptyMap()
    private var level = Double.POSITIVE_INFINITY
    private var levelMs = Long.MIN_VALUE / 2

    /** Notes that [workspace] asked for [tokens]. */
    public fun onAsked(workspace: WorkspaceId, tokens: Long, nowMs: Long): Unit =
        meter(workspace).add(tokens, 0, nowMs)

    /** Notes that [workspace] was granted [tokens]. */
    public fun onGranted(workspace: WorkspaceId, tokens: Long, nowMs: Long): Unit =
        meter(workspace).add(0, tokens, nowMs)

    /** Takes in the rates of [peer]. */
    public fun onPeer(peer: InstanceId, rates: Map<WorkspaceId, WorkspaceRate>, nowMs: Long) {
        peers[peer] = PeerRates(rates, nowMs)
    }

    /** Returns the rates of this router alone. */
    public fun own(nowMs: Long): Map<WorkspaceId, WorkspaceRate> =
        meters.mapValues { (_, meter) -> meter.rate(nowMs) }.filterValues { it.asked >= 1 }

    /**
     * Returns what [workspace] was granted as a multiple of its share: 0 where nobody is refused, above 1 where it
     * has more than its share.
     */
    public fun standing(workspace: WorkspaceId, nowMs: Long): Double {
        if (nowMs - levelMs >= LEVEL_PERIOD_MS) update(nowMs)
        return if (level > 0) (all[workspace]?.granted ?: 0.0) / level else 0.0
    }

    /** Returns whether more is asked than granted, so that a low standing means too little, not no wish for more. */
    public fun isContended(nowMs: Long): Boolean {
        if (nowMs - levelMs >= LEVEL_PERIOD_MS) update(nowMs)
        return level.isFinite()
    }

    private fun meter(workspace: WorkspaceId) = meters.getOrPut(workspace) { Meter() }

    private fun update(nowMs: Long) {
        peers.values.removeIf { nowMs - it.atMs > PEER_SILENCE_MS }
        val sums = HashMap(own(nowMs))
        peers.values.forEach { peer ->
            peer.rates.forEach { (workspace, rate) ->
                val known = sums[workspace] ?: WorkspaceRate(0.0, 0.0)
                sums[workspace] = WorkspaceRate(known.asked + rate.asked, known.granted + rate.granted)
            }
        }
        all = sums
        level = fairLevel(sums.values)
        levelMs = nowMs
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val MEMORY_SECONDS = MEMORY_MS / MS_PER_SECOND
    }
}

/** Returns the max-min level of [rates], infinite where what is granted covers what is asked. */
internal fun fairLevel(rates: Collection<WorkspaceRate>): Double {
    val granted = rates.sumOf { it.granted }
    val contended = rates.sumOf { it.asked } > granted * CONTENTION
    return if (contended) waterLevel(rates.map { it.asked }.sorted(), granted) else Double.POSITIVE_INFINITY
}

/** Returns the highest level at which the least of it and each of [asked], which rise, add up to [total]. */
private fun waterLevel(asked: List<Double>, total: Double): Double {
    var left = total
    asked.forEachIndexed { index, demand ->
        val level = left / (asked.size - index)
        if (demand > level) return level
        left -= demand
    }
    return Double.POSITIVE_INFINITY
}
