package corneltrack.router.callers

import io.netty.channel.embedded.EmbeddedChannel
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

private const val TIMEOUT_MS = 1_000L

class IdleTimerTest {
    private val channel = EmbeddedChannel().apply { freezeTime() }
    private var idle = true
    private var timeouts = 0
    private val timer = IdleTimer(TIMEOUT_MS, { idle }) { timeouts++ }

    @AfterTest
    fun close() {
        channel.close()
    }

    @Test
    fun `an idle connection times out once its time has passed`() {
        timer.restart(channel.eventLoop())

        pass(TIMEOUT_MS - 1)
        assertEquals(0, timeouts, "timeouts before the time")
        pass(1)
        assertEquals(1, timeouts, "timeouts at the time")
    }

    @Test
    fun `the time counts from the last response and not from the first`() {
        timer.restart(channel.eventLoop())
        pass(TIMEOUT_MS - 1)
        timer.restart(channel.eventLoop())

        pass(TIMEOUT_MS - 1)
        assertEquals(0, timeouts, "timeouts of a connection that was used")
        pass(1)
        assertEquals(1, timeouts, "timeouts after the last use")
    }

    @Test
    fun `a connection with a request does not time out before it is idle for the whole time again`() {
        timer.restart(channel.eventLoop())
        idle = false
        pass(3 * TIMEOUT_MS)
        assertEquals(0, timeouts, "timeouts during a request")

        idle = true
        timer.restart(channel.eventLoop())
        pass(TIMEOUT_MS)
        assertEquals(1, timeouts, "timeouts after the response")
    }

    @Test
    fun `a closed connection does not time out`() {
        timer.restart(channel.eventLoop())
        timer.cancel()

        pass(2 * TIMEOUT_MS)
        assertEquals(0, timeouts, "timeouts of a closed connection")
    }

    private fun pass(ms: Long) {
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }
}
