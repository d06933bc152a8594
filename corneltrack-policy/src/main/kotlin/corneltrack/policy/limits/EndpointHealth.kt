package corneltrack.policy.limits

private const val FAILURE_SMOOTHING = 0.2
private const val EJECTION_FAILURE_RATE = 0.55
private const val MINIMUM_SAMPLES = 4
private const val MINIMUM_EJECTION_MS = 500L
private const val MAXIMUM_EJECTION_MS = 8_000L

/** Tells how an attempt at an endpoint went, as far as the endpoint is to blame. */
public enum class EndpointSignal {
    /** It answered as it should. */
    GOOD,

    /** It answered with a failure of its own, or broke off. */
    FAILED,

    /** It could not be reached. */
    UNREACHABLE,
}

/**
 * Decides from the answers of an endpoint whether to pass it over for a while.
 *
 * An endpoint that cannot be reached is passed over at once, one whose answers fail as soon as most of the latest did;
 * each time longer than the time before. Not thread-safe.
 */
public class EndpointHealth {
    private var failureRate = 0.0
    private var samples = 0
    private var ejections = 0
    private var ejectedUntilMs = Long.MIN_VALUE

    /** Takes in a signal of the endpoint. Returns whether it is passed over from now on. */
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

    /** Returns whether the endpoint is passed over. */
    public fun isEjected(nowMs: Long): Boolean = nowMs < ejectedUntilMs

    private companion object {
        const val MAXIMUM_DOUBLINGS = 4
    }
}
