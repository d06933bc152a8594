package corneltrack.router

import corneltrack.wire.event
import corneltrack.world.Instance
import corneltrack.world.InstanceId
import org.apache.logging.log4j.LogManager

private const val LOG_GRACE_MS = 1_500L
private const val FETCH_PERIOD_MS = 1_000L
private val logger = LogManager.getLogger("corneltrack.router.PeerConfiguration")

/**
 * Fetches the configuration from a peer that is further along than this router.
 *
 * So an outage of the log or a restart without memory reverts nothing. Offsets ride on the exchanges between routers; a
 * router that the log has told nothing asks its peers in turn.
 */
internal class PeerConfigurationFetcher(
    private val ownId: InstanceId,
    private val views: RouterViews,
    private val peers: PeerClient,
    private val clock: Clock,
) {
    private val startMs = clock()
    private var lastFetchMs = startMs
    private var nextPeer = 0

    /** Takes in that [peer] has applied the stream up to [offset]. */
    fun onOffset(peer: InstanceId, offset: Long) {
        val nowMs = clock()
        if (offset > views.current.configuration.offset && nowMs - lastFetchMs >= FETCH_PERIOD_MS / 2) {
            lastFetchMs = nowMs
            views.current.instances[peer]?.let { fetch(it) }
        }
    }

    /** Asks a peer where the log has told nothing since the start, be it silent or its records expired. */
    fun tick() {
        val nowMs = clock()
        val early = nowMs - startMs < LOG_GRACE_MS || nowMs - lastFetchMs < FETCH_PERIOD_MS
        if (views.current.configuration.loaded || early) {
            return
        }
        lastFetchMs = nowMs
        val otherInstances = views.current.fleet.instances.filter { it.id != ownId }
        if (otherInstances.isNotEmpty()) {
            fetch(otherInstances[nextPeer++ % otherInstances.size])
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
