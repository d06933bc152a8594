package corneltrack.router

import corneltrack.wire.FleetListClient
import corneltrack.wire.event
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

private const val POLL_PERIOD_MS = 1_000L
private val logger = LogManager.getLogger("corneltrack.router.FleetWatcher")

/** Polls the instance list of the platform. While the platform does not respond, the last list remains valid. */
internal class FleetListPoller(
    private val list: FleetListClient,
    private val views: RouterViews,
    private val executor: ScheduledExecutorService,
    private val clock: Clock,
) {
    @Volatile
    private var lastResponseMs: Long? = null

    /** Returns the time since the last response of the platform, in ms, or null if there was none. */
    fun ageMs(nowMs: Long): Long? = lastResponseMs?.let { nowMs - it }

    /** Starts to poll every [POLL_PERIOD_MS]. */
    fun start() {
        executor.scheduleWithFixedDelay(::read, 0, POLL_PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    private fun read() {
        list.read().thenAcceptAsync({ fleet ->
            if (fleet != null) {
                lastResponseMs = clock()
                if (fleet != views.current.fleet) {
                    views.publish(fleet)
                    logger.event("fleet_list_changed") {
                        field("instances", fleet.instances.size)
                        field("endpoints", fleet.endpoints.size)
                    }
                }
            }
        }, executor)
    }
}
