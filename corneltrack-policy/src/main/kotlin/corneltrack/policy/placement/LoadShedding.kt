package corneltrack.policy.placement

import corneltrack.policy.limits.EventLoopLag
import corneltrack.world.WorkspaceId

/**
 * The lag above which a router sheds load, in ms. Longer than a garbage collection pause, far below the time after
 * which callers give up on unread requests.
 */
private const val MAXIMUM_LAG_MS = 200L

/** Most callers have given up on a request that waited longer than this, whatever caused the lag, in ms. */
private const val MAXIMUM_SERVABLE_LAG_MS = 600L

/** The first requests of a process are slow because they load classes; this alone must not trigger load shedding. */
private const val WARM_UP_REQUESTS = 100

/** Whether a request is admitted, as far as the load of the router and the share of its workspace go. */
public enum class SheddingDecision {
    /** The request is admitted. */
    ADMIT,

    /** The router cannot keep up with its callers. */
    OVERLOADED,

    /** The workspace asks for several times its fair share of the engines, which are busy. */
    ABOVE_FAIR_SHARE,
}

/**
 * Decides which requests a router refuses because of its own load or because of their workspace's share.
 *
 * Meant for a flood of one workspace all of whose callers reach one router, which gets more requests than its processor
 * can read and relay, while its peers are idle. Such a router refuses only what the flooding workspace sends, as long
 * as the callers of the others still wait for what it reads. Not thread-safe.
 */
public class LoadShedding(private val lag: EventLoopLag, private val shares: FairShareTracker) {
    private val reads = ReadShares()
    private var warmUpRequestsLeft = WARM_UP_REQUESTS

    /**
     * Decides on a request that was just read.
     *
     * @param workspace the workspace that it is charged to, or null for a public route or an unknown key.
     * @param cost the tokens that an engine would process for it, or null if it is not for an engine.
     */
    public fun decide(workspace: WorkspaceId?, cost: Long?, nowMs: Long): SheddingDecision {
        if (workspace != null && cost != null) shares.onRequested(workspace, cost, nowMs)
        reads.onRead(workspace, nowMs)
        val patient = isWarmingUp() || reads.isMinor(workspace, nowMs)
        val overloaded = lag.lagMs(nowMs) > if (patient) MAXIMUM_SERVABLE_LAG_MS else MAXIMUM_LAG_MS
        return when {
            overloaded -> SheddingDecision.OVERLOADED
            workspace == null || cost == null -> SheddingDecision.ADMIT
            shares.tryAttempt(workspace, cost, nowMs) -> SheddingDecision.ADMIT
            else -> SheddingDecision.ABOVE_FAIR_SHARE
        }
    }

    private fun isWarmingUp(): Boolean {
        if (warmUpRequestsLeft > 0) warmUpRequestsLeft--
        return warmUpRequestsLeft > 0
    }
}
