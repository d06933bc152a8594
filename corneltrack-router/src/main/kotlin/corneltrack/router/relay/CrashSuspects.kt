package corneltrack.router.relay

import corneltrack.policy.Quarantine
import corneltrack.policy.Suspicion
import corneltrack.wire.event
import corneltrack.world.EndpointId
import org.apache.logging.log4j.LogManager

private const val QUARANTINE_MS = 120_000L
private val logger = LogManager.getLogger("corneltrack.router.relay.CrashSuspects")

/**
 * Remembers which requests were under way where an endpoint broke off, here or at peers.
 *
 * The same request of the same caller that broke off at two endpoints is not sent again.
 *
 * @param wallClockMs the time of day, in ms since the epoch.
 * @param shareWithPeers tells the peers of a suspicion.
 */
internal class CrashSuspects(private val wallClockMs: () -> Long, private val shareWithPeers: (Suspicion) -> Unit) {
    private val quarantine = Quarantine(QUARANTINE_MS)

    /** Notes that [call] was under way at [endpoint] as that broke off. */
    fun onBroken(call: RelayedCall, endpoint: EndpointId) {
        val nowMs = wallClockMs()
        val suspicion = Suspicion(call.fingerprint, endpoint, "${endpoint.value}/${call.id}", nowMs)
        logger.event("request_suspected") {
            field("request", call.id)
            field("endpoint", endpoint)
            field("fingerprint", call.fingerprint)
        }
        accept(suspicion, nowMs)
        shareWithPeers(suspicion)
    }

    /** Takes in a suspicion of a peer. */
    fun onPeerSuspicion(suspicion: Suspicion): Unit = accept(suspicion, wallClockMs())

    /** Returns whether [call] must not run. */
    fun isQuarantined(call: RelayedCall): Boolean =
        !quarantine.isEmpty && quarantine.isQuarantined(call.fingerprint, wallClockMs())

    private fun accept(suspicion: Suspicion, nowMs: Long) {
        if (quarantine.onSuspicion(suspicion, nowMs)) {
            logger.event("request_quarantined") { field("fingerprint", suspicion.fingerprint) }
        }
    }
}
