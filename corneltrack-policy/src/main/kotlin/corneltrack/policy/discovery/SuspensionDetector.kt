package corneltrack.policy.discovery

import kotlin.math.abs

/** The change of the difference between the clocks, in ms, that clock slewing and late timers do not account for. */
private const val MINIMUM_JUMP_MS = 300L

/** The time after a suspension in which messages from before it may still be read, in ms. */
private const val SETTLING_MS = 1_000L

/**
 * Detects that the machine was suspended or its wall clock was set.
 *
 * Messages that are read shortly after a suspension may have waited through it, so that their age is unknown. During a
 * suspension the wall clock advances and the monotonic clock does not. Not thread-safe.
 */
public class SuspensionDetector {
    private var lastDriftMs: Long? = null
    private var lastJumpMs: Long? = null

    /** Records the clocks at [now] and returns whether the difference between them has been stable for a while. */
    public fun isSettled(now: ClockReading): Boolean {
        val driftMs = now.wallClockMs - now.monotonicMs
        val previousDriftMs = lastDriftMs
        if (previousDriftMs != null && abs(driftMs - previousDriftMs) > MINIMUM_JUMP_MS) lastJumpMs = now.monotonicMs
        lastDriftMs = driftMs
        return lastJumpMs?.let { now.monotonicMs - it > SETTLING_MS } ?: true
    }
}
