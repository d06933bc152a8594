package corneltrack.router

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

private const val CHECKS_PER_TIMEOUT = 4

/** Notices that nothing has come over a connection for too long. Only used on its event loop. */
internal class IdleTimeout(
    private val eventLoop: EventLoop,
    private val clock: Clock,
    private val onTimeout: (reason: String) -> Unit,
) {
    private var timer: ScheduledFuture<*>? = null
    private var lastActivityMs = 0L

    /** Watches [channel] from now on, instead of any other. Time while it is not read from does not count. */
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

    /** Takes in that something has come, or that reading goes on. */
    fun onActivity() {
        lastActivityMs = clock()
    }

    fun stop() {
        timer?.cancel(false)
    }
}
