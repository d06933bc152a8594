package corneltrack.router

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

private const val CHECKS_PER_TIMEOUT = 4

/** Calls [onTimeout] when a connection has received nothing for too long. Only used on its event loop. */
internal class IdleTimeout(
    private val eventLoop: EventLoop,
    private val clock: Clock,
    private val onTimeout: (reason: String) -> Unit,
) {
    private var timer: ScheduledFuture<*>? = null
    private var lastActivityMs = 0L

    /**
     * Starts the timeout of [channel], in place of that of any other channel.
     *
     * The timeout does not expire while reading from the channel is paused.
     */
    fun start(channel: Channel, timeoutMs: Long) {
        stop()
        onActivity()
        val periodMs = maxOf(1, timeoutMs / CHECKS_PER_TIMEOUT)
        timer = eventLoop.scheduleAtFixedRate({
            val paused = !channel.config().isAutoRead
            if (!paused && clock() - lastActivityMs > timeoutMs) {
                onTimeout("silent for more than $timeoutMs ms")
            }
        }, periodMs, periodMs, TimeUnit.MILLISECONDS)
    }

    /** Restarts the timeout, because data has arrived or reading has been resumed. */
    fun onActivity() {
        lastActivityMs = clock()
    }

    fun stop() {
        timer?.cancel(false)
    }
}
