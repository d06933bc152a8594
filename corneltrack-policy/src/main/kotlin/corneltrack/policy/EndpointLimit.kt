package corneltrack.policy

import kotlin.math.max
import kotlin.math.min

private const val LATENCY_TOLERANCE = 3.0
private const val LATENCY_SMOOTHING = 0.1
private const val DECREASE_FACTOR = 0.7
private const val GROWTH_DIVISOR = 4

/** What became of one request at an endpoint, as far as the endpoint's limit is concerned. */
public enum class EndpointOutcome {
    /** Answered; its first byte came after a measured time. */
    SUCCESS,

    /** The endpoint said that it has too much work. */
    REFUSED,

    /** The connection was refused, reset, closed early or fell silent. */
    BROKEN,
}

/** What an endpoint last published about itself, with a lag. */
public data class EndpointReport(
    val incarnation: String,
    val running: Int,
    val cold: Boolean,
    val atMs: Long,
)

/**
 * Bounds the concurrent requests of one endpoint over all routers together.
 *
 * The limit starts at [coldLimit], grows by a quarter for each full round of timely answers, shrinks when the endpoint
 * refuses, and falls back to [coldLimit] on any sign of a cold start: a new incarnation, a reported cold state or a
 * broken connection. After that it does not grow until the endpoint's lagging reports must have shown a cold start.
 * Not thread-safe; owned by the allocator of the endpoint's cell.
 *
 * @param reportLagMs how long reports may lag behind, in ms.
 * @param discoveredMs when the endpoint became known, in ms.
 */
public class EndpointLimit(
    private val coldLimit: Int,
    private val ceiling: Int,
    initial: Int = coldLimit,
    private val reportLagMs: Long = 0,
    discoveredMs: Long = 0,
) {
    private var limit = initial.coerceIn(min(coldLimit, ceiling), ceiling)
    private var successes = 0
    private var averageFirstByteMs = 0.0
    private var incarnation: String? = null
    private var reportedCold = false
    private var growsFromMs = discoveredMs + reportLagMs

    /** Whether the endpoint is in cold start as far as is known. */
    public var cold: Boolean = limit <= coldLimit
        private set

    /** The slots that may be lent at present. */
    public val current: Int get() = limit

    /**
     * Takes in one ended request.
     *
     * @param firstByteMs the time to the first byte of the answer, in ms; counts only for [EndpointOutcome.SUCCESS].
     * @param inFlight the requests that the endpoint ran lately, including those that just ended; only a full endpoint
     * shows that it bears its limit.
     */
    public fun onOutcome(outcome: EndpointOutcome, firstByteMs: Long, inFlight: Int, nowMs: Long) {
        when (outcome) {
            EndpointOutcome.SUCCESS -> onSuccess(firstByteMs, full = inFlight >= limit, nowMs)
            EndpointOutcome.REFUSED -> shrink()
            EndpointOutcome.BROKEN -> resetToColdLimit(nowMs)
        }
    }

    /** Takes in what the endpoint publishes about itself. */
    public fun onReport(report: EndpointReport) {
        val restarted = incarnation != null && incarnation != report.incarnation
        incarnation = report.incarnation
        reportedCold = report.cold
        if (restarted || report.cold) {
            resetToColdLimit(report.atMs)
        }
    }

    private fun onSuccess(firstByteMs: Long, full: Boolean, nowMs: Long) {
        val slow = averageFirstByteMs > 0 && firstByteMs > LATENCY_TOLERANCE * averageFirstByteMs + 1
        averageFirstByteMs += LATENCY_SMOOTHING * (firstByteMs - averageFirstByteMs)
        if (slow) {
            successes = 0
            return
        }
        if (full) {
            successes++
        }
        if (successes >= limit && !reportedCold && nowMs >= growsFromMs) {
            grow()
        }
    }

    private fun grow() {
        successes = 0
        limit = min(ceiling, limit + max(1, limit / GROWTH_DIVISOR))
        cold = false
    }

    private fun shrink() {
        successes = 0
        limit = max(min(coldLimit, ceiling), (limit * DECREASE_FACTOR).toInt())
    }

    private fun resetToColdLimit(nowMs: Long) {
        growsFromMs = nowMs + reportLagMs
        successes = 0
        limit = min(coldLimit, ceiling)
        cold = true
    }
}
