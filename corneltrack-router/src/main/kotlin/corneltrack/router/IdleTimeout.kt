package corneltrack.router

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

private const val CHECKS_PER_LIMIT = 4

/** Notices that nothing has come over a connection for too long. Only used on its event loop. */
internal class IdleTimeout(
    private val loop: EventLoop,
    private val clock: Clock,
    private val onSilent: (reason: String) -> Unit,
) {
    private var timer: ScheduledFuture<*>? = null
    private var lastSignMs = 0L

    /** Watches [channel] from now on, instead of any other. Time while it is not read from does not count. */
    fun watch(channel: Channel, limitMs: Long) {
        stop()
        onSign()
        val periodMs = maxOf(1, limitMs / CHECKS_PER_LIMIT)
        timer = loop.scheduleAtFixedRate({
            val paused = !channel.config().isAutoRead
            if (!paused && clock() - lastSignMs > limitMs) {
                onSilent("silent for more than $limitMs ms")
            }
        }, periodMs, periodMs, TimeUnit.MILLISECONDS)
    }

    /** Takes in that something has come, or that reading goes on. */
    fun onSign() {
        lastSignMs = clock()
    }

    fun stop() {
        timer?.cancel(false)
    }
}
