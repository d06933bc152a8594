package corneltrack.policy.placement

import corneltrack.world.EndpointId

private const val INITIAL_SERVICE_TIME_MS = 40.0
private const val SERVICE_TIME_SMOOTHING = 0.05
private const val REPORT_TTL_MS = 1_000L

/** Estimates the load of one endpoint of a plain service. Not thread-safe. */
public class ServiceLoad {
    private var reportedOtherRequests = 0
    private var reportedMs = Long.MIN_VALUE / 2

    /** The requests that this router has under way there. */
    public var running: Int = 0
        private set

    /** The learned time of one request, in ms. */
    public var serviceTimeMs: Double = INITIAL_SERVICE_TIME_MS
        private set

    /** Notes that a request is sent. */
    public fun onSent() {
        running++
    }

    /** Notes the end of a request. */
    public fun onEnd() {
        running--
    }

    /** Notes that the endpoint worked on a request for [elapsedMs]. */
    public fun onResponse(elapsedMs: Long) {
        serviceTimeMs += SERVICE_TIME_SMOOTHING * (elapsedMs - serviceTimeMs)
    }

    /** Takes in that the endpoint has [outstanding] requests running or waiting. */
    public fun onReport(outstanding: Int, nowMs: Long) {
        reportedOtherRequests = maxOf(0, outstanding - running)
        reportedMs = nowMs
    }

    /** Returns the requests that are likely to run or wait there. */
    public fun outstanding(nowMs: Long): Int =
        running + if (nowMs - reportedMs <= REPORT_TTL_MS) reportedOtherRequests else 0
}

/**
 * Describes one endpoint of a plain service to choose from.
 *
 * @property networkDelayMs the time that the network adds to an answer, in ms.
 */
public class ServiceCandidate(
    public val id: EndpointId,
    public val load: ServiceLoad,
    public val concurrency: Int,
    public val networkDelayMs: Double,
)

/** Tells where a request to a plain service goes. */
public sealed interface ServiceDecision {
    /** The request goes to [candidate]. */
    public data class Chosen(val candidate: ServiceCandidate, val expectedMs: Double) : ServiceDecision

    /** Every endpoint has too long a queue; one may be shorter after [retryAfterMs]. */
    public data class Refused(val retryAfterMs: Long) : ServiceDecision
}

/**
 * Chooses the endpoint of a plain service that is expected to answer first.
 *
 * Answers a load of short requests at endpoints with few concurrency, some of which are far away.
 *
 * @param limitMs the longest expected time to the answer at which the request is still sent.
 */
public fun placeServiceRequest(candidates: List<ServiceCandidate>, limitMs: Double, nowMs: Long): ServiceDecision {
    val best = candidates.minByOrNull { it.expectedMs(nowMs) }
    val expectedMs = best?.expectedMs(nowMs) ?: Double.POSITIVE_INFINITY
    return when {
        best == null -> ServiceDecision.Refused(NO_ENDPOINT_RETRY_AFTER_MS)
        expectedMs <= limitMs -> ServiceDecision.Chosen(best, expectedMs)
        else -> ServiceDecision.Refused(maxOf(MINIMUM_RETRY_AFTER_MS, (expectedMs - limitMs).toLong()))
    }
}

private const val NO_ENDPOINT_RETRY_AFTER_MS = 300L
private const val MINIMUM_RETRY_AFTER_MS = 100L

private fun ServiceCandidate.expectedMs(nowMs: Long): Double {
    val rounds = (load.outstanding(nowMs) + 1.0) / concurrency
    return networkDelayMs + load.serviceTimeMs * maxOf(1.0, rounds) + load.outstanding(nowMs)
}
