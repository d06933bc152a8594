package corneltrack.router

import corneltrack.wire.event
import corneltrack.world.Instance
import corneltrack.world.InstanceId
import org.apache.logging.log4j.LogManager

private const val SILENCE_MS = 1_500L
private const val PERIOD_MS = 1_000L
private val logger = LogManager.getLogger("corneltrack.router.PeerConfiguration")

/**
 * Fetches the configuration from a peer that is further along than this router.
 *
 * So an outage of the log or a restart without memory reverts nothing. Offsets ride on the exchanges between routers; a
 * router that knows nothing yet and does not hear from the log asks its peers in turn.
 */
internal class PeerConfiguration(
    private val self: InstanceId,
    private val views: RouterViews,
    private val peers: PeerClient,
    private val logSilenceMs: (nowMs: Long) -> Long?,
    private val clock: Clock,
) {
    private val startMs = clock()
    private var askedMs = startMs
    private var turn = 0

    /** Takes in that [peer] has applied the stream up to [offset]. */
    fun onOffset(peer: InstanceId, offset: Long) {
        val nowMs = clock()
        if (offset > views.current.configuration.offset && nowMs - askedMs >= PERIOD_MS / 2) {
            askedMs = nowMs
            views.current.instances[peer]?.let { fetch(it) }
        }
    }

    /** Asks a peer where nothing is known and the log is silent. */
    fun tick() {
        val nowMs = clock()
        val silent = (logSilenceMs(nowMs) ?: (nowMs - startMs)) >= SILENCE_MS
        if (views.current.configuration.known || !silent || nowMs - askedMs < PERIOD_MS) {
            return
        }
        askedMs = nowMs
        val others = views.current.fleet.instances.filter { it.id != self }
        if (others.isNotEmpty()) {
            fetch(others[turn++ % others.size])
        }
    }

    private fun fetch(peer: Instance) {
        peers.configuration(peer).thenAccept { configuration ->
            if (configuration != null && views.publish(configuration)) {
                logger.event("configuration_fetched") {
                    field("peer", peer.id)
                    field("offset", configuration.offset)
                }
            }
        }
    }
}
