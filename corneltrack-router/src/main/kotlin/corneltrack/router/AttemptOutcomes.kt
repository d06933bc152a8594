package corneltrack.router

import corneltrack.policy.AttemptResult
import corneltrack.policy.OutcomeReport
import corneltrack.world.EndpointId
import java.util.concurrent.ConcurrentHashMap

/** Counts the outcomes of attempts by endpoint until they are reported to an allocator. Thread-safe. */
internal class AttemptOutcomes {
    private val counts = ConcurrentHashMap<EndpointId, OutcomeReport>()

    fun onEnd(endpoint: EndpointId, result: AttemptResult, firstByteMs: Long) {
        val report = result.toReport(firstByteMs) ?: return
        counts.merge(endpoint, report) { sum, next -> sum + next }
    }

    /** Counts a break while its response may still be resumed. */
    fun onBreak(endpoint: EndpointId) {
        counts.merge(endpoint, OutcomeReport(broken = 1)) { sum, next -> sum + next }
    }

    /** Returns whether a break at one of [endpoints] has not been reported yet. */
    fun hasUnreportedBreak(endpoints: Collection<EndpointId>): Boolean = endpoints.any { (counts[it]?.broken ?: 0) > 0 }

    /** Removes and returns the counts of [endpoints]. */
    fun take(endpoints: Collection<EndpointId>): Map<EndpointId, OutcomeReport> =
        endpoints.mapNotNull { id -> counts.remove(id)?.let { id to it } }.toMap()

    /** Adds counts again whose report did not reach the allocator. */
    fun restore(taken: Map<EndpointId, OutcomeReport>) {
        taken.forEach { (id, report) -> counts.merge(id, report) { sum, next -> sum + next } }
    }
}

private fun AttemptResult.toReport(firstByteMs: Long): OutcomeReport? = when (this) {
    is AttemptResult.Done -> OutcomeReport(successes = 1, firstByteMs = firstByteMs)
    is AttemptResult.Refused -> OutcomeReport(refused = 1)
    is AttemptResult.NotSent -> OutcomeReport(broken = 1)
    is AttemptResult.Broken -> OutcomeReport(broken = 1).takeIf { !reused }
    is AttemptResult.CallerGone -> null
}
