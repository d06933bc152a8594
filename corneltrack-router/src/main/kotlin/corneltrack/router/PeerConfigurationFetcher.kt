package corneltrack.router

import corneltrack.wire.event
import corneltrack.world.Instance
import corneltrack.world.InstanceId
import org.apache.logging.log4j.LogManager

private const val LOG_GRACE_MS = 1_500L
private const val FETCH_PERIOD_MS = 1_000L
private val logger = LogManager.getLogger("corneltrack.router.PeerConfiguration")

/**
 * Fetches the configuration from a peer that has applied more of the stream than this router.
 *
 * This way neither an outage of the log nor a restart, which loses the configuration, reverts to an older one. Offsets
 * are sent along with the exchanges between routers. A router without any configuration asks its peers round robin.
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

    /** Records that [peer] has applied the stream up to [offset], and fetches from it if this router is behind. */
    fun onOffset(peer: InstanceId, offset: Long) {
        val nowMs = clock()
        if (offset > views.current.configuration.offset && nowMs - lastFetchMs >= FETCH_PERIOD_MS / 2) {
            lastFetchMs = nowMs
            views.current.instances[peer]?.let { fetch(it) }
        }
    }

    /**
     * Fetches from a peer if no configuration is loaded [LOG_GRACE_MS] after the start, because the log does not
     * respond or its records have expired.
     */
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
