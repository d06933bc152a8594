package corneltrack.policy.placement

import corneltrack.world.WorkspaceId

/** The time constant, in ms, with which read requests decay. */
private const val DECAY_MS = 1_000.0

/**
 * Tracks which workspace most of the requests come from that a router reads. Not thread-safe.
 *
 * Requests without a workspace count as those of one.
 */
internal class ReadShares {
    private val total = DecayingRate(DECAY_MS)
    private val rates = HashMap<WorkspaceId?, DecayingRate>()
    private var heaviest: WorkspaceId? = null

    /** Records that a request of [workspace] was read. */
    fun onRead(workspace: WorkspaceId?, nowMs: Long) {
        total.add(1, nowMs)
        rate(workspace).add(1, nowMs)
        if (isMajor(workspace, nowMs)) heaviest = workspace
    }

    /** Whether [workspace] sends less than half of the requests and another one more than half. */
    fun isMinor(workspace: WorkspaceId?, nowMs: Long): Boolean = workspace != heaviest && isMajor(heaviest, nowMs)

    private fun isMajor(workspace: WorkspaceId?, nowMs: Long) =
        2 * rate(workspace).perSecond(nowMs) > total.perSecond(nowMs)

    private fun rate(workspace: WorkspaceId?) = rates.getOrPut(workspace) { DecayingRate(DECAY_MS) }
}
