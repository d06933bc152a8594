package corneltrack.policy.limits

/** The weight of a new sample in the failure rate. */
private const val FAILURE_SMOOTHING = 0.2

/** The failure rate above which an endpoint is ejected, and the samples since the last ejection that this requires. */
private const val EJECTION_FAILURE_RATE = 0.55
private const val MINIMUM_SAMPLES = 4
private const val MINIMUM_EJECTION_MS = 500L
private const val MAXIMUM_EJECTION_MS = 8_000L

/** A health signal: the result of an attempt as far as the endpoint is responsible for it. */
public enum class EndpointSignal {
    /** The endpoint responded normally. */
    GOOD,

    /** The endpoint responded with an error or broke its response off. */
    FAILED,

    /** The endpoint could not be reached. */
    UNREACHABLE,
}

/**
 * Ejects an endpoint as an outlier by the health signals of recent attempts.
 *
 * An unreachable endpoint is ejected at once, a failing one as soon as most of the recent attempts failed. The duration
 * doubles with each consecutive ejection, up to a maximum. Not thread-safe.
 */
public class EndpointHealth {
    private var failureRate = 0.0
    private var samples = 0
    private var ejections = 0
    private var ejectedUntilMs = Long.MIN_VALUE

    /** Records a health signal. Returns whether it ejects the endpoint. */
    public fun onSignal(signal: EndpointSignal, nowMs: Long): Boolean {
        if (signal == EndpointSignal.GOOD && !isEjected(nowMs)) ejections = 0
        failureRate += FAILURE_SMOOTHING * ((if (signal == EndpointSignal.GOOD) 0.0 else 1.0) - failureRate)
        samples++
        val failing = samples >= MINIMUM_SAMPLES && failureRate > EJECTION_FAILURE_RATE
        val eject = !isEjected(nowMs) && (signal == EndpointSignal.UNREACHABLE || failing)
        if (eject) {
            val durationMs = (MINIMUM_EJECTION_MS shl ejections).coerceAtMost(MAXIMUM_EJECTION_MS)
            ejectedUntilMs = nowMs + durationMs
            ejections = (ejections + 1).coerceAtMost(MAXIMUM_DOUBLINGS)
            failureRate = 0.0
            samples = 0
        }
        return eject
    }

    /** Whether the endpoint is ejected. */
    public fun isEjected(nowMs: Long): Boolean = nowMs < ejectedUntilMs

    private companion object {
        const val MAXIMUM_DOUBLINGS = 4
    }
}
