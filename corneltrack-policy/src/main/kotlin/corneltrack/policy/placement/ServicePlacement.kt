package corneltrack.policy.placement

import corneltrack.world.EndpointId

private const val INITIAL_SERVICE_TIME_MS = 40.0
private const val SERVICE_TIME_SMOOTHING = 0.05

/** The time for which a load report of the endpoint counts, in ms. */
private const val REPORT_TTL_MS = 1_000L

/** The responses from which on the service time of an endpoint counts as known. */
private const val KNOWN_SAMPLES = 4

/** What the start value from the pool counts for against the first responses, in samples. */
private const val START_SAMPLES = 4

/** The fraction of requests that may go to endpoints whose service time is not known yet. */
private const val EXPLORED_FRACTION = 0.05

/**
 * Estimates the load of one endpoint of a plain service from the requests that this router sent and from the load that
 * the endpoint reports with its responses. Not thread-safe.
 *
 * @param pool what the endpoint has in common with the others of its pool.
 */
public class ServiceLoad(pool: PoolReports = PoolReports()) {
    private var samples = 0
    private var startedFromPool = false
    private var reportedOtherRequests = 0
    private var reportedMs = Long.MIN_VALUE / 2

    /** The number of requests that this router has in flight at the endpoint. */
    public var running: Int = 0
        private set

    /** The estimated service time of one request, in ms: a moving average. */
    public var serviceTimeMs: Double = INITIAL_SERVICE_TIME_MS
        private set

    /** What is known of the endpoint if it states its pace. */
    public val paced: PacedLoad = PacedLoad(pool)

    /** Whether the endpoint has responded at all. */
    internal val tried: Boolean get() = samples > 0

    /** Whether the endpoint has responded so often that its service time counts as known. */
    internal val known: Boolean get() = samples >= KNOWN_SAMPLES

    /** Sets the service time assumed of an endpoint that has not responded yet. */
    internal fun startFrom(poolServiceTimeMs: Double) {
        startedFromPool = true
        serviceTimeMs = minOf(INITIAL_SERVICE_TIME_MS, poolServiceTimeMs)
    }

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
        val initialWeight = if (startedFromPool) 1.0 / (START_SAMPLES + samples) else 0.0
        serviceTimeMs += maxOf(SERVICE_TIME_SMOOTHING, initialWeight) * (elapsedMs - serviceTimeMs)
        samples++
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
 * @property connected whether a connection to the endpoint is idle, so that none needs to be opened.
 */
public class ServiceCandidate(
    public val id: EndpointId,
    public val load: ServiceLoad,
    public val concurrency: Int,
    public val networkDelayMs: Double,
    public val connected: Boolean = false,
)

/** Describes where a request to a plain service is sent. */
public sealed interface ServiceDecision {
    /**
     * The request is sent to [candidate], which is expected to respond after [responseTimeMs].
     *
     * @property explored whether the endpoint is chosen to learn how fast it is.
     */
    public data class Chosen(
        val candidate: ServiceCandidate,
        val responseTimeMs: Double,
        val explored: Boolean = false,
    ) : ServiceDecision

    /** No endpoint can respond in time; a retry after [retryAfterMs] may succeed. */
    public data class Refused(val retryAfterMs: Long) : ServiceDecision
}

/**
 * Chooses the endpoint of a plain service for one request.
 *
 * Weighs queueing delay against network delay. Both matter for short requests, because an endpoint runs few of them at
 * once and some endpoints are in remote regions. The endpoint that is expected to respond first is chosen. Where
 * an endpoint states its pace, many routers choose by reports that do not keep up with it, and [choice] applies.
 *
 * Endpoints that have not responded yet start from the mean of the others; before the first response one of them is
 * chosen at random, so that routers that start together do not all begin at the same one. A small fraction of the
 * requests goes to those that are not known, since an estimate that is too high would never be corrected.
 *
 * @param limitMs the maximum expected response time, in ms; a request that would take longer is refused.
 * @param random returns a random number in 0..1, 1 excluded.
 */
public fun placeServiceRequest(
    candidates: List<ServiceCandidate>,
    limitMs: Double,
    nowMs: Long,
    choice: ServiceChoice = ::chooseConnectedOfTwo,
    random: () -> Double,
): ServiceDecision {
    candidates.startUntried()
    val paced = candidates.any { it.load.paced.pace.known }
    val timed = candidates.map { it.timed(paced, nowMs) }
    val best = best(timed, random) ?: return ServiceDecision.Refused(NO_ENDPOINT_RETRY_AFTER_MS)
    val unknown = timed.filter { it.isWorthExploring(best, limitMs) }
    val explored = unknown.isNotEmpty() && random() < EXPLORED_FRACTION
    val chosen = when {
        explored -> unknown[(random() * unknown.size).toInt()]
        paced -> choice(timed, random).takeIf { it.responseTimeMs <= limitMs } ?: best
        else -> best
    }
    val excessMs = (chosen.responseTimeMs - limitMs).toLong()
    return if (chosen.responseTimeMs <= limitMs) {
        ServiceDecision.Chosen(chosen.candidate, chosen.responseTimeMs, explored)
    } else {
        ServiceDecision.Refused(maxOf(MINIMUM_RETRY_AFTER_MS, excessMs))
    }
}

private const val NO_ENDPOINT_RETRY_AFTER_MS = 300L
private const val MINIMUM_RETRY_AFTER_MS = 100L

/** Returns the candidate that is expected to respond first; a random one of those if none has responded yet. */
private fun best(timed: List<TimedCandidate>, random: () -> Double): TimedCandidate? {
    val best = timed.minByOrNull { it.responseTimeMs }
    if (best == null || timed.any { it.candidate.load.tried }) return best
    val equal = timed.filter { it.responseTimeMs == best.responseTimeMs }
    return equal[(random() * equal.size).toInt()]
}

/** Sets what is assumed of endpoints that have not responded to the mean of those that have. */
private fun List<ServiceCandidate>.startUntried() {
    val (tried, untried) = partition { it.load.tried }
    if (tried.isEmpty()) return
    val meanMs = tried.sumOf { it.load.serviceTimeMs } / tried.size
    untried.forEach { it.load.startFrom(meanMs) }
}

/**
 * Whether a response of an unknown endpoint may tell something useful: it could be the best one if it took no time at
 * all, and no request of this router there will tell the same.
 */
private fun TimedCandidate.isWorthExploring(best: TimedCandidate, limitMs: Double): Boolean =
    !candidate.load.known && candidate.load.running == 0 && responseTimeMs <= limitMs &&
        candidate.networkDelayMs < best.responseTimeMs

private fun ServiceCandidate.timed(paced: Boolean, nowMs: Long) =
    TimedCandidate(this, if (paced) pacedResponseTimeMs(nowMs) else responseTimeMs(nowMs))

/**
 * Returns the expected response time, in ms.
 *
 * Each outstanding request adds 1 ms. So load also counts between endpoints that can run the request at once.
 */
private fun ServiceCandidate.responseTimeMs(nowMs: Long): Double {
    val rounds = (load.outstanding(nowMs) + 1.0) / concurrency
    return networkDelayMs + load.serviceTimeMs * maxOf(1.0, rounds) + load.outstanding(nowMs)
}

/** Returns the expected response time of an endpoint that states its pace, in ms. */
private fun ServiceCandidate.pacedResponseTimeMs(nowMs: Long): Double {
    val outstanding = load.running + load.paced.othersAt(nowMs)
    val serviceTimeMs = load.paced.serviceTimeMs ?: load.serviceTimeMs
    val rounds = maxOf(1.0, (outstanding + 1) / concurrency)
    return networkDelayMs + serviceTimeMs * load.paced.pace.at(nowMs) * rounds + outstanding
}
