package corneltrack.policy

import corneltrack.world.EndpointId
import kotlinx.serialization.Serializable

private const val CRASHES_TO_QUARANTINE = 2

/**
 * The suspicion that the request with [fingerprint] made an endpoint crash, as its connection broke in this request.
 *
 * @property crash identifies the crash, so that several reports of it count once.
 * @property atMs when the break was seen, by the reporter's clock, in ms since the epoch.
 */
@Serializable
public data class Suspicion(
    val fingerprint: String,
    val endpoint: EndpointId,
    val crash: String,
    val atMs: Long,
)

/**
 * Tracks the requests that were running when an endpoint crashed.
 *
 * A request that was running in crashes of two different endpoints is quarantined. Not thread-safe.
 *
 * @param retentionMs how long a suspicion is kept, in ms.
 */
public class Quarantine(private val retentionMs: Long) {
    private val suspicions = HashMap<String, MutableMap<EndpointId, Suspicion>>()

    /** When the last quarantine ends at the latest. */
    private var lastQuarantineEndMs = Long.MIN_VALUE

    /**
     * Returns whether any fingerprint may be quarantined. If not, requests need no fingerprint, which costs a hash of
     * the whole body.
     */
    public fun mayHoldAny(nowMs: Long): Boolean = nowMs < lastQuarantineEndMs

    /** Records a suspicion of any router. Returns whether its fingerprint is quarantined now. */
    public fun onSuspicion(suspicion: Suspicion, nowMs: Long): Boolean {
        expire(nowMs)
        val byEndpoint = suspicions.getOrPut(suspicion.fingerprint) { HashMap() }
        byEndpoint[suspicion.endpoint] = suspicion
        val quarantined = isQuarantined(suspicion.fingerprint, nowMs)
        if (quarantined) {
            val newestMs = byEndpoint.values.maxOf { it.atMs }
            lastQuarantineEndMs = maxOf(lastQuarantineEndMs, newestMs + retentionMs)
        }
        return quarantined
    }

    /** Returns whether requests with [fingerprint] are quarantined and must not run. */
    public fun isQuarantined(fingerprint: String, nowMs: Long): Boolean =
        unexpired(fingerprint, nowMs).size >= CRASHES_TO_QUARANTINE

    /** Returns whether a request with [fingerprint] was running in a crash and must not run beside other suspects. */
    public fun isSuspect(fingerprint: String, nowMs: Long): Boolean = unexpired(fingerprint, nowMs).isNotEmpty()

    /** Returns the endpoints that crashed while running [fingerprint]. */
    public fun endpointsOf(fingerprint: String, nowMs: Long): Set<EndpointId> =
        unexpired(fingerprint, nowMs).mapTo(HashSet()) { it.endpoint }

    /** Returns the fingerprints that are quarantined at [nowMs]. */
    public fun quarantined(nowMs: Long): Set<String> =
        suspicions.keys.filterTo(HashSet()) { isQuarantined(it, nowMs) }

    private fun unexpired(fingerprint: String, nowMs: Long): List<Suspicion> =
        suspicions[fingerprint]?.values.orEmpty().filter { nowMs - it.atMs < retentionMs }

    private fun expire(nowMs: Long) {
        suspicions.values.forEach { byEndpoint -> byEndpoint.values.removeIf { nowMs - it.atMs >= retentionMs } }
        suspicions.values.removeIf { it.isEmpty() }
    }
}
