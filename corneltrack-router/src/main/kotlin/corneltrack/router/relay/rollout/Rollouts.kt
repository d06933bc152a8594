package corneltrack.router.relay.rollout

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

private const val TICK_MS = 100L

/** The roll-outs of the pools of one router. */
internal class Rollouts(context: RolloutContext) {
    private val parts = RolloutParts(context)

    /** Takes in what the store and the peers say. */
    val reader: RolloutRecordReader = RolloutRecordReader(parts)
    private val driver = RolloutDriver(parts, reader)

    /** Says which endpoints get requests. */
    val control: VersionControl = RolloutControl(parts)

    /** Whether the router has known once which versions are in force, and so may be routed to. */
    val started: Boolean get() = driver.started

    /** Advances roll-outs on [loop] from now on. */
    fun start(loop: EventLoop) {
        loop.scheduleWithFixedDelay(driver::onTick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
    }
}
