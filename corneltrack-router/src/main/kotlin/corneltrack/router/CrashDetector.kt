package corneltrack.router

import corneltrack.policy.Quarantine
import corneltrack.policy.Suspicion
import corneltrack.wire.event
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.math.abs

private const val UPTIME_TOLERANCE_MS = 500L
private const val PROBE_TIMEOUT_MS = 5_000L
private const val PROBE_RETRY_DELAY_MS = 300L
private const val PROBE_REUSE_MS = 1_000L
private const val SUSPICION_RETENTION_MS = 600_000L
private val logger = LogManager.getLogger("corneltrack.router.CrashReports")

/**
 * Detects whether a connection broke because its endpoint crashed, and tracks the requests that were running there.
 *
 * A break counts as a crash only if the endpoint is down or has restarted since, so that network faults don't make a
 * request suspect.
 *
 * @param broadcast sends a suspicion to the other routers.
 */
internal class CrashDetector(
    private val loadClient: EndpointLoadClient,
    private val clock: Clock,
    private val wallClock: Clock,
    private val broadcast: (Suspicion) -> Unit,
) : SuspectLookup {
    private class Probe(val atMs: Long, val crashed: CompletableFuture<Boolean>)

    private val probes = ConcurrentHashMap<EndpointId, Probe>()
    private val quarantine = Quarantine(SUSPICION_RETENTION_MS)

    /**
     * Probes [endpoint] after a break at [brokeMs] and records a suspicion against [fingerprint] if it crashed.
     *
     * Breaks at one endpoint within [PROBE_REUSE_MS] share a probe and count as one crash.
     *
     * @return whether the endpoint crashed.
     */
    fun assess(fingerprint: String, endpoint: Endpoint, brokeMs: Long): CompletableFuture<Boolean> {
        val probe = probes.compute(endpoint.id) { _, existing ->
            val recent = existing?.takeIf { abs(brokeMs - it.atMs) < PROBE_REUSE_MS }
            recent ?: Probe(brokeMs, detectCrash(endpoint, brokeMs, clock()))
        }
        return probe!!.crashed.thenApply { crashed ->
            if (crashed) suspect(Suspicion(fingerprint, endpoint.id, "${endpoint.id}@${probe.atMs}", wallClock()))
            crashed
        }
    }

    /** Records a suspicion of another router. */
    @Synchronized
    fun onSuspicion(suspicion: Suspicion) {
        quarantine.onSuspicion(suspicion, wallClock())
    }

    @Synchronized
    fun isQuarantined(fingerprint: String): Boolean = quarantine.isQuarantined(fingerprint, wallClock())

    /** Returns the fingerprints that are quarantined now. */
    @Synchronized
    fun quarantined(): Set<String> = quarantine.quarantined(wallClock())

    @Synchronized
    override fun isSuspect(fingerprint: String): Boolean = quarantine.isSuspect(fingerprint, wallClock())

    @Synchronized
    override fun endpointsOf(fingerprint: String): Set<EndpointId> = quarantine.endpointsOf(fingerprint, wallClock())

    private fun suspect(suspicion: Suspicion) {
        val quarantined = synchronized(this) { quarantine.onSuspicion(suspicion, wallClock()) }
        logger.event("request_suspected", Level.WARN) {
            field("fingerprint", suspicion.fingerprint)
            field("endpoint", suspicion.endpoint)
            field("quarantined", quarantined)
        }
        broadcast(suspicion)
    }

    /**
     * Probes [endpoint] until it responds or is down, for up to [PROBE_TIMEOUT_MS].
     *
     * The endpoint crashed if it is down or its uptime is less than the time since the break, give or take
     * [UPTIME_TOLERANCE_MS].
     */
    private fun detectCrash(endpoint: Endpoint, brokeMs: Long, startedMs: Long): CompletableFuture<Boolean> =
        loadClient.fetch(endpoint).thenCompose { result ->
            val nowMs = clock()
            when {
                result is LoadResult.Down -> CompletableFuture.completedFuture(true)
                result is LoadResult.Known ->
                    CompletableFuture.completedFuture(result.load.uptimeMs < nowMs - brokeMs + UPTIME_TOLERANCE_MS)
                nowMs - startedMs > PROBE_TIMEOUT_MS -> CompletableFuture.completedFuture(false)
                else -> retryDelay().thenCompose { detectCrash(endpoint, brokeMs, startedMs) }
            }
        }

    private fun retryDelay(): CompletableFuture<Unit> =
        CompletableFuture.supplyAsync(
            { },
            CompletableFuture.delayedExecutor(PROBE_RETRY_DELAY_MS, TimeUnit.MILLISECONDS),
        )
}
