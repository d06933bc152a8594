package corneltrack.router.relay

import corneltrack.policy.Quarantine
import corneltrack.policy.Suspicion
import corneltrack.wire.event
import corneltrack.world.EndpointId
import org.apache.logging.log4j.LogManager

private const val QUARANTINE_MS = 120_000L
private val logger = LogManager.getLogger("corneltrack.router.relay.CrashSuspects")

/**
 * Quarantines requests that this router or its peers suspect of crashing endpoints.
 *
 * A request during which connections to two endpoints were lost within [QUARANTINE_MS] is refused, and so are its
 * retries, which have the same fingerprint. Confined to the event loop.
 *
 * @param wallClockMs returns the wall clock time, in ms since the epoch.
 * @param shareWithPeers sends a suspicion to the peers.
 */
internal class CrashSuspects(private val wallClockMs: () -> Long, private val shareWithPeers: (Suspicion) -> Unit) {
    private val quarantine = Quarantine(QUARANTINE_MS)

    /** Records that the connection to [endpoint] was lost while [call] was in flight, and shares the suspicion. */
    fun onBroken(call: RelayedCall, endpoint: EndpointId) {
        val nowMs = wallClockMs()
        val suspicion = Suspicion(call.fingerprint, endpoint, "${endpoint.value}/${call.id}", nowMs)
        logger.event("request_suspected") {
            field("request", call.id)
            field("endpoint", endpoint)
            field("fingerprint", call.fingerprint)
        }
        record(suspicion, nowMs)
        shareWithPeers(suspicion)
    }

    /** Records a suspicion received from a peer. */
    fun onPeerSuspicion(suspicion: Suspicion): Unit = record(suspicion, wallClockMs())

    /** Whether [call] is quarantined. The fingerprint is computed only while any request may be. */
    fun isQuarantined(call: RelayedCall): Boolean {
        val nowMs = wallClockMs()
        return quarantine.mayHoldAny(nowMs) && quarantine.isQuarantined(call.fingerprint, nowMs)
    }

    private fun record(suspicion: Suspicion, nowMs: Long) {
        if (quarantine.onSuspicion(suspicion, nowMs)) {
            logger.event("request_quarantined") { field("fingerprint", suspicion.fingerprint) }
        }
    }
}
