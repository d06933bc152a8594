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
 * @param epochMs the time of day, in ms since the epoch.
 * @param share tells the peers of a suspicion.
 */
internal class CrashSuspects(private val epochMs: () -> Long, private val share: (Suspicion) -> Unit) {
    private val quarantine = Quarantine(QUARANTINE_MS)

    /** Notes that [call] was under way at [endpoint] as that broke off. */
    fun onBreak(call: RelayedCall, endpoint: EndpointId) {
        val nowMs = epochMs()
        val suspicion = Suspicion(call.fingerprint, endpoint, "${endpoint.value}/${call.id}", nowMs)
        logger.event("request_suspected") {
            field("request", call.id)
            field("endpoint", endpoint)
            field("fingerprint", call.fingerprint)
        }
        accept(suspicion, nowMs)
        share(suspicion)
    }

    /** Takes in a suspicion of a peer. */
    fun onPeer(suspicion: Suspicion): Unit = accept(suspicion, epochMs())

    /** Returns whether [call] must not run. */
    fun isQuarantined(call: RelayedCall): Boolean =
        !quarantine.isEmpty && quarantine.isQuarantined(call.fingerprint, epochMs())

    private fun accept(suspicion: Suspicion, nowMs: Long) {
        if (quarantine.onSuspicion(suspicion, nowMs)) {
            logger.event("request_quarantined") { field("fingerprint", suspicion.fingerprint) }
        }
    }
}
