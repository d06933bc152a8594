package corneltrack.policy.limits

/** The number of pauses at the limit after which a stream counts as stalled; busy engines pause for two or three. */
private const val PAUSES_BEFORE_STALL = 4
private const val MINIMUM_STALL_LIMIT_MS = 1_000L

/**
 * Returns the time without an event after which a resumable stream counts as stalled, in ms.
 *
 * Detects engines that stop sending while streams are open; their callers would wait until they give up. Only complete
 * events count, since a failing engine may still send single bytes.
 *
 * @param pauseLimitMs the maximum pause between two events of the stream, in ms.
 */
public fun stallLimitMs(pauseLimitMs: Long): Long = maxOf(MINIMUM_STALL_LIMIT_MS, PAUSES_BEFORE_STALL * pauseLimitMs)
