package corneltrack.policy.discovery

import kotlin.math.abs

/** The difference between the clocks' advances that slewing and late timers do not explain, in ms. */
private const val MINIMUM_JUMP_MS = 300L

/** How long messages from before a suspension may still be read after it, in ms. */
private const val SETTLING_MS = 1_000L

/**
 * Tells whether the machine was suspended, or its time of day set, so lately that messages may have waited meanwhile.
 *
 * The steady clock stands still during a suspension, the time of day does not. Not thread-safe.
 */
public class SuspensionDetector {
    private var lastDriftMs: Long? = null
    private var lastJumpMs: Long? = null

    /** Compares both clocks at [now] and returns whether they have advanced alike for a while. */
    public fun isSettled(now: ClockReading): Boolean {
        val driftMs = now.wallClockMs - now.monotonicMs
        val previousDriftMs = lastDriftMs
        if (previousDriftMs != null && abs(driftMs - previousDriftMs) > MINIMUM_JUMP_MS) lastJumpMs = now.monotonicMs
        lastDriftMs = driftMs
        return lastJumpMs?.let { now.monotonicMs - it > SETTLING_MS } ?: true
    }
}
