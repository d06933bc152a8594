package corneltrack.router.callers

import io.netty.util.concurrent.EventExecutor
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Calls [onTimeout] when a connection has been idle for [timeoutMs]. Confined to the connection's event loop.
 *
 * Has one check pending for as long as the connection is open, instead of one that each request cancels and schedules
 * anew, which costs much in a flood.
 *
 * @param timeoutMs null for no limit.
 * @param isIdle whether the connection has no request.
 */
internal class IdleTimer(
    timeoutMs: Long?,
    private val isIdle: () -> Boolean,
    private val onTimeout: () -> Unit,
) {
    private val timeoutNs = timeoutMs?.let(TimeUnit.MILLISECONDS::toNanos)
    private var check: ScheduledFuture<*>? = null
    private var idleSinceNs = 0L

    /** Starts to measure anew, because the connection has just become idle. */
    fun restart(executor: EventExecutor) {
        if (timeoutNs == null) return
        idleSinceNs = executor.ticker().nanoTime()
        if (check == null) checkAfter(timeoutNs, executor)
    }

    /** Ends the measurement for good, because the connection has closed. */
    fun cancel() {
        check?.cancel(false)
    }

    private fun checkAfter(delayNs: Long, executor: EventExecutor) {
        check = executor.schedule({ checkNow(executor) }, delayNs, TimeUnit.NANOSECONDS)
    }

    private fun checkNow(executor: EventExecutor) {
        check = null
        if (timeoutNs == null || !isIdle()) return
        val leftNs = timeoutNs - (executor.ticker().nanoTime() - idleSinceNs)
        if (leftNs > 0) checkAfter(leftNs, executor) else onTimeout()
    }
}
