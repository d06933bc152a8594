package corneltrack.policy.discovery

import kotlin.math.abs

/** The change of the difference between the clocks, in ms, that clock slewing and late timers do not account for. */
private const val MINIMUM_JUMP_MS = 300L

/** The time between two readings, in ms, that only a pause of the process explains. */
private const val MINIMUM_PAUSE_MS = 1_500L

/** The time after a suspension in which messages from before it may still be read, in ms. */
private const val SETTLING_MS = 1_000L

/**
 * Detects that the machine was suspended, the process was paused or the wall clock was set.
 *
 * Messages that are read shortly after a suspension may have waited through it, so that their age is unknown. During a
 * suspension of the machine the wall clock advances and the monotonic clock does not; during a pause of the process
 * both do. Not thread-safe.
 */
public class SuspensionDetector {
    private var lastReading: ClockReading? = null
    private var lastJumpMs: Long? = null

    /**
     * Records the clocks at [now] and returns whether the process has run for a while and the difference between them
     * has been stable. Called several times a second.
     */
    public fun isSettled(now: ClockReading): Boolean {
        val last = lastReading
        val jumped = last != null && abs(now.driftMs - last.driftMs) > MINIMUM_JUMP_MS
        val paused = last != null && now.since(last) > MINIMUM_PAUSE_MS
        if (jumped || paused) lastJumpMs = now.monotonicMs
        lastReading = now
        return lastJumpMs?.let { now.monotonicMs - it > SETTLING_MS } ?: true
    }
}

private val ClockReading.driftMs: Long get() = wallClockMs - monotonicMs
