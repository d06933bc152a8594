package corneltrack.router.relay

/** A caller with less than this share of the longest time left seen on its route is taken to be retrying. */
private const val FIRST_TRY_TIME_SHARE = 0.85

/**
 * Holds the times that bound a request. Points in time are in ms of the monotonic clock.
 *
 * @property arrivedMs when the request arrived.
 * @property callerDeadlineMs when the caller stops waiting.
 * @property responseDeadlineMs when the router gives up: the earlier of the caller's deadline and the route's timeout.
 * @property earlierWaitMs how long the caller has waited on earlier tries of the request, in ms.
 */
internal data class CallTimes(
    val arrivedMs: Long,
    val callerDeadlineMs: Long,
    val responseDeadlineMs: Long,
    val earlierWaitMs: Long,
)

/**
 * Computes the deadlines of a request and how long its caller has already waited on earlier tries.
 *
 * A caller that retries after a refusal has less time left than on its first try. Timeouts differ between callers, so
 * only the part below [FIRST_TRY_TIME_SHARE] of the longest time left seen on the route counts as earlier wait. A
 * caller that takes up a stream has not waited for the rest of it, which is of use however long ago it asked for the
 * first part.
 *
 * @param longestMs the longest time left seen on the route, in ms.
 */
internal fun callTimes(metadata: CallerMetadata, timeoutMs: Long, longestMs: Long, nowMs: Long): CallTimes {
    val timeLeftMs = metadata.timeLeftMs ?: timeoutMs
    val spentMs = ((longestMs * FIRST_TRY_TIME_SHARE).toLong() - timeLeftMs).coerceAtLeast(0)
    val earlierWaitMs = if (metadata.takesUp == null) spentMs else 0
    return CallTimes(nowMs, nowMs + timeLeftMs, nowMs + minOf(timeLeftMs, timeoutMs), earlierWaitMs)
}
