package corneltrack.policy

import kotlin.math.max
import kotlin.math.min

/** A response is slow if its time to the first byte is more than this multiple of the moving average. */
private const val LATENCY_TOLERANCE = 3.0
private const val LATENCY_SMOOTHING = 0.1
private const val DECREASE_FACTOR = 0.7

/** The limit grows by itself divided by this number, but at least by one. */
private const val GROWTH_DIVISOR = 4

/** The outcome of one request at an endpoint, as it affects the limit of the endpoint. */
public enum class EndpointOutcome {
    /** The endpoint responded; the time to the first byte was measured. */
    SUCCESS,

    /** The endpoint refused the request because it is overloaded. */
    REFUSED,

    /** The connection was refused, reset, closed early or reached its idle timeout. */
    BROKEN,
}

/**
 * The state that an endpoint last published, which lags behind.
 *
 * @property incarnation identifies the endpoint's process; it changes with each restart.
 * @property running the requests that the endpoint was running.
 * @property cold whether the endpoint is in its cold start.
 * @property atMs when the report was received, in ms of the router's clock.
 */
public data class EndpointReport(
    val incarnation: String,
    val running: Int,
    val cold: Boolean,
    val atMs: Long,
)

/**
 * Limits the concurrent requests of all routers at one endpoint.
 *
 * The limit starts at [coldLimit]. It grows by a quarter after as many timely responses as the limit; a slow response
 * restarts the count. It shrinks by 30%, but not below [coldLimit], when the endpoint refuses a request. It returns to
 * [coldLimit] on any sign of a cold start: a new incarnation, a reported cold state or a broken connection. It then
 * does not grow for [reportLagMs], so that the endpoint's reports can show a cold start first. Not thread-safe; owned
 * by the allocator of the endpoint's cell.
 *
 * @param coldLimit the limit during a cold start.
 * @param ceiling the maximum limit.
 * @param initial the limit to start at instead of [coldLimit], if one was determined earlier.
 * @param reportLagMs how long reports may lag behind, in ms.
 * @param discoveredMs when the endpoint became known, in ms of the router's clock.
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

    /** Whether the endpoint is assumed to be in its cold start. */
    public var cold: Boolean = limit <= coldLimit
        private set

    /** The number of requests that the endpoint may currently run. */
    public val current: Int get() = limit

    /**
     * Updates the limit after a request ended.
     *
     * @param firstByteMs the time to the first byte of the response, in ms; used for [EndpointOutcome.SUCCESS] only.
     * @param inFlight the requests that the endpoint ran recently, including those that just ended. Successes count
     * towards growth only while the endpoint is at its limit; otherwise they do not show that it can handle the limit.
     */
    public fun onOutcome(outcome: EndpointOutcome, firstByteMs: Long, inFlight: Int, nowMs: Long) {
        when (outcome) {
            EndpointOutcome.SUCCESS -> onSuccess(firstByteMs, full = inFlight >= limit, nowMs)
            EndpointOutcome.REFUSED -> shrink()
            EndpointOutcome.BROKEN -> resetToColdLimit(nowMs)
        }
    }

    /** Updates the limit from the endpoint's own [report]. */
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
