package corneltrack.policy.placement

import corneltrack.world.EndpointId

private const val INITIAL_SERVICE_TIME_MS = 40.0
private const val SERVICE_TIME_SMOOTHING = 0.05

/** The time for which a load report of the endpoint counts, in ms. */
private const val REPORT_TTL_MS = 1_000L

/**
 * Estimates the load of one endpoint of a plain service from the requests that this router sent and from the load that
 * the endpoint reports with its responses. Not thread-safe.
 */
public class ServiceLoad {
    private var reportedOtherRequests = 0
    private var reportedMs = Long.MIN_VALUE / 2

    /** The number of requests that this router has in flight at the endpoint. */
    public var running: Int = 0
        private set

    /** The estimated service time of one request, in ms: a moving average. */
    public var serviceTimeMs: Double = INITIAL_SERVICE_TIME_MS
        private set

    /** Records that a request was sent. */
    public fun onSent() {
        running++
    }

    /** Records that a request ended. */
    public fun onEnd() {
        running--
    }

    /** Records a response to a request that took the endpoint [elapsedMs]. */
    public fun onResponse(elapsedMs: Long) {
        serviceTimeMs += SERVICE_TIME_SMOOTHING * (elapsedMs - serviceTimeMs)
    }

    /** Records that the endpoint reports [outstanding] requests, running or queued, from all routers. */
    public fun onReport(outstanding: Int, nowMs: Long) {
        reportedOtherRequests = maxOf(0, outstanding - running)
        reportedMs = nowMs
    }

    /** Returns the estimated number of requests that run or are queued at the endpoint. */
    public fun outstanding(nowMs: Long): Int =
        running + if (nowMs - reportedMs <= REPORT_TTL_MS) reportedOtherRequests else 0
}

/**
 * Describes one endpoint of a plain service that a request may be sent to.
 *
 * @property concurrency the requests that the endpoint runs at once.
 * @property networkDelayMs the time that the network adds to a response, in ms.
 */
public class ServiceCandidate(
    public val id: EndpointId,
    public val load: ServiceLoad,
    public val concurrency: Int,
    public val networkDelayMs: Double,
)

/** Describes where a request to a plain service is sent. */
public sealed interface ServiceDecision {
    /** The request is sent to [candidate], which is expected to respond after [responseTimeMs]. */
    public data class Chosen(val candidate: ServiceCandidate, val responseTimeMs: Double) : ServiceDecision

    /** No endpoint can respond in time; a retry after [retryAfterMs] may succeed. */
    public data class Refused(val retryAfterMs: Long) : ServiceDecision
}

/**
 * Chooses the endpoint of a plain service that is expected to respond first.
 *
 * Weighs queueing delay against network delay. Both matter for short requests, because an endpoint runs few of them at
 * once and some endpoints are in remote regions.
 *
 * @param limitMs the maximum expected response time, in ms; a request that would take longer is refused.
 */
public fun placeServiceRequest(candidates: List<ServiceCandidate>, limitMs: Double, nowMs: Long): ServiceDecision {
    val best = candidates.minByOrNull { it.responseTimeMs(nowMs) }
    val responseTimeMs = best?.responseTimeMs(nowMs) ?: Double.POSITIVE_INFINITY
    return when {
        best == null -> ServiceDecision.Refused(NO_ENDPOINT_RETRY_AFTER_MS)
        responseTimeMs <= limitMs -> ServiceDecision.Chosen(best, responseTimeMs)
        else -> ServiceDecision.Refused(maxOf(MINIMUM_RETRY_AFTER_MS, (responseTimeMs - limitMs).toLong()))
    }
}

private const val NO_ENDPOINT_RETRY_AFTER_MS = 300L
private const val MINIMUM_RETRY_AFTER_MS = 100L

/**
 * Returns the expected response time, in ms.
 *
 * Each outstanding request adds 1 ms. So load also counts between endpoints that can run the request at once.
 */
private fun ServiceCandidate.responseTimeMs(nowMs: Long): Double {
    val rounds = (load.outstanding(nowMs) + 1.0) / concurrency
    return networkDelayMs + load.serviceTimeMs * maxOf(1.0, rounds) + load.outstanding(nowMs)
}
