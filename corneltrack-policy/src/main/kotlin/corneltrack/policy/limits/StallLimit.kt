package corneltrack.policy.limits

/** How many pauses at the limit a stream may take before it is given up; busy engines pause for two or three. */
private const val PAUSES_BEFORE_STALL = 4
private const val MINIMUM_STALL_LIMIT_MS = 1_000L

/**
 * Returns how long a stream that another endpoint can go on with may be without an event, in ms.
 *
 * Answers engines that fall silent with streams under way: their callers would wait until they leave. Only whole events
 * count, since an engine in trouble may go on to send single bytes.
 *
 * @param pauseLimitMs the longest pause between two events at which an answer is on time.
 */
public fun stallLimitMs(pauseLimitMs: Long): Long = maxOf(MINIMUM_STALL_LIMIT_MS, PAUSES_BEFORE_STALL * pauseLimitMs)
