package corneltrack.policy.limits

/** The stall limit as a multiple of the pause limit; a pause of a busy engine may be two or three times that limit. */
private const val PAUSE_LIMIT_MULTIPLE = 4
private const val MINIMUM_STALL_LIMIT_MS = 1_000L

/**
 * Returns the time without an event after which a resumable stream counts as stalled, in ms.
 *
 * Detects engines that stop sending while streams are open; their callers would wait until they give up. Only complete
 * events count, since a failing engine may still send single bytes.
 *
 * @param pauseLimitMs the maximum pause between two events of a stream that is on time, in ms.
 */
public fun stallLimitMs(pauseLimitMs: Long): Long = maxOf(MINIMUM_STALL_LIMIT_MS, PAUSE_LIMIT_MULTIPLE * pauseLimitMs)
