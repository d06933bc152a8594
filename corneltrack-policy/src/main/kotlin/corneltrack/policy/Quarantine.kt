package corneltrack.policy

import corneltrack.world.EndpointId
import kotlinx.serialization.Serializable

private const val CRASHES_TO_QUARANTINE = 2

/**
 * States that an endpoint broke off while it ran the request with [fingerprint].
 *
 * @property crash names the crash, so that two reports of one crash count once.
 * @property atMs the reporter's clock, in ms since the epoch.
 */
@Serializable
public data class Suspicion(
    val fingerprint: String,
    val endpoint: EndpointId,
    val crash: String,
    val atMs: Long,
)

/**
 * Remembers which requests ran where an endpoint crashed.
 *
 * A request that was running in crashes of two different endpoints is quarantined for [retentionMs]. Not thread-safe.
 */
public class Quarantine(private val retentionMs: Long) {
    private val suspicions = HashMap<String, MutableMap<EndpointId, Suspicion>>()

    /** Whether nothing is suspected. */
    public val isEmpty: Boolean get() = suspicions.isEmpty()

    /** Takes in a suspicion of this router or another. Returns whether its fingerprint is quarantined now. */
    public fun onSuspicion(suspicion: Suspicion, nowMs: Long): Boolean {
        forget(nowMs)
        suspicions.getOrPut(suspicion.fingerprint) { HashMap() }[suspicion.endpoint] = suspicion
        return isQuarantined(suspicion.fingerprint, nowMs)
    }

    /** Returns whether a request with [fingerprint] must not run. */
    public fun isQuarantined(fingerprint: String, nowMs: Long): Boolean =
        live(fingerprint, nowMs).size >= CRASHES_TO_QUARANTINE

    /** Returns whether a request with [fingerprint] was running in a crash and must run apart from other suspects. */
    public fun isSuspect(fingerprint: String, nowMs: Long): Boolean = live(fingerprint, nowMs).isNotEmpty()

    /** Returns the endpoints that crashed while running [fingerprint]. */
    public fun endpointsOf(fingerprint: String, nowMs: Long): Set<EndpointId> =
        live(fingerprint, nowMs).mapTo(HashSet()) { it.endpoint }

    /** Returns the fingerprints in quarantine. */
    public fun quarantined(nowMs: Long): Set<String> =
        suspicions.keys.filterTo(HashSet()) { isQuarantined(it, nowMs) }

    private fun live(fingerprint: String, nowMs: Long): List<Suspicion> =
        suspicions[fingerprint]?.values.orEmpty().filter { nowMs - it.atMs < retentionMs }

    private fun forget(nowMs: Long) {
        suspicions.values.forEach { reports -> reports.values.removeIf { nowMs - it.atMs >= retentionMs } }
        suspicions.values.removeIf { it.isEmpty() }
    }
}
