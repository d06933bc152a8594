package corneltrack.router.relay.rollout

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.rollout.RolloutEvidence
import corneltrack.policy.rollout.RolloutOrder
import corneltrack.policy.rollout.RolloutResponse
import corneltrack.policy.rollout.TrialPlan
import corneltrack.policy.rollout.TrialShare
import corneltrack.policy.rollout.Verdict
import corneltrack.policy.rollout.trialPlan
import corneltrack.world.EndpointId

/** A response that takes longer than expected by this factor may be a bad one, which peers should know at once. */
private const val SLOW_RATIO = 2.5

/** A verdict takes fewer bad responses; more would flood the peers during a shift, when some responses are slow. */
private const val MAXIMUM_URGENT = 50

/**
 * What this router keeps about one order: its share of the trial, the evidence and the verdict. Only used on the event
 * loop.
 *
 * @property seenMs when this router read the order, in ms since the epoch.
 */
internal class OrderTrial(val order: RolloutOrder, val share: TrialShare, val seenMs: Long) {
    private val sentTo = HashMap<EndpointId, Int>()

    /** The evidence; null until the status of the order is known, which says when it began. */
    var evidence: RolloutEvidence? = null

    /** What the evidence or a peer says about the target; bad is final. */
    var verdict: Verdict = Verdict.Undecided
        private set

    /** When the verdict became bad, in ms since the epoch; null if it is not. */
    var badSinceMs: Long? = null
        private set

    /** The bad responses of the target version at this router, as far as peers should hear of each at once. */
    var urgentResponses: Int = 0
        private set

    /** Whether responses are evidence. */
    val gathers: Boolean get() = evidence != null

    /** Whether the target version is known to be bad. */
    val bad: Boolean get() = verdict is Verdict.Bad

    /** Records what the evidence or a peer says. Returns whether that changed the verdict. */
    fun onVerdict(next: Verdict, wallClockMs: Long): Boolean {
        if (bad || next == verdict) return false
        verdict = next
        if (bad) badSinceMs = wallClockMs
        return true
    }

    /** Records the response to an attempt. */
    fun onResponse(response: RolloutResponse, wallClockMs: Long) {
        val target = response.version == order.target
        evidence?.onResponse(response, wallClockMs)
        val slow = (response.firstEventRatio ?: 0.0) > SLOW_RATIO || (response.pauseRatio ?: 0.0) > SLOW_RATIO
        if (target && (response.failed || slow)) urgentResponses = minOf(urgentResponses + 1, MAXIMUM_URGENT)
    }

    /** Returns where trial requests go, given all [live] endpoints of the pool. */
    fun plan(live: List<KnownEndpoint>, trialShare: Double, nowMs: Long): TrialPlan {
        val (target, baseline) = live.partition { it.entry.version == order.target }
        val warm = target.filter { it.coldUntilMs <= nowMs }.ifEmpty { target }
        return trialPlan(warm.map { it.entry.endpoint.id }, baseline.size, trialShare)
    }

    /**
     * Chooses the one of the [eligible] endpoints with the fewest trial requests, and takes the attempt from the share.
     * Expected times play no part: an endpoint that nobody has tried would get nothing if its start value is high.
     */
    fun take(eligible: List<KnownEndpoint>): KnownEndpoint? {
        val chosen = eligible.minByOrNull { sentTo[it.entry.endpoint.id] ?: 0 }?.takeIf { share.tryTake() }
        chosen?.let { sentTo.merge(it.entry.endpoint.id, 1, Int::plus) }
        return chosen
    }
}
