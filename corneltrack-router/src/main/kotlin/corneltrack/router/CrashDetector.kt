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

private const val UPTIME_SLACK_MS = 500L
private const val ASSESSMENT_MS = 5_000L
private const val ASK_AGAIN_MS = 300L
private const val SHARED_PROBE_MS = 1_000L
private const val QUARANTINE_MS = 600_000L
private val logger = LogManager.getLogger("corneltrack.router.CrashReports")

/**
 * Finds out whether a broken connection was a crash of its endpoint, and which requests were running there.
 *
 * A break counts as a crash only where the endpoint is found down or newly started, so that a fault of the network
 * throws no suspicion on a request.
 *
 * @param share tells the other routers of a suspicion.
 */
internal class CrashDetector(
    private val loads: EndpointLoadClient,
    private val clock: Clock,
    private val time: Clock,
    private val share: (Suspicion) -> Unit,
) : Suspects {
    private class Probe(val atMs: Long, val crashed: CompletableFuture<Boolean>)

    private val probes = ConcurrentHashMap<EndpointId, Probe>()
    private val quarantine = Quarantine(QUARANTINE_MS)

    /**
     * Probes [endpoint] after a break at [brokeMs] and, where it crashed, suspects [fingerprint].
     *
     * Completes once that is known.
     */
    fun assess(fingerprint: String, endpoint: Endpoint, brokeMs: Long): CompletableFuture<Boolean> {
        val probe = probes.compute(endpoint.id) { _, known ->
            val recent = known?.takeIf { abs(brokeMs - it.atMs) < SHARED_PROBE_MS }
            recent ?: Probe(brokeMs, assess(endpoint, brokeMs, clock()))
        }
        return probe!!.crashed.thenApply { crashed ->
            if (crashed) suspect(Suspicion(fingerprint, endpoint.id, "${endpoint.id}@${probe.atMs}", time()))
            crashed
        }
    }

    /** Takes in a suspicion that another router has shared. */
    @Synchronized
    fun onShared(suspicion: Suspicion) {
        quarantine.onSuspicion(suspicion, time())
    }

    @Synchronized
    fun isQuarantined(fingerprint: String): Boolean = quarantine.isQuarantined(fingerprint, time())

    /** Returns the fingerprints in quarantine. */
    @Synchronized
    fun quarantined(): Set<String> = quarantine.quarantined(time())

    @Synchronized
    override fun isSuspect(fingerprint: String): Boolean = quarantine.isSuspect(fingerprint, time())

    @Synchronized
    override fun endpointsOf(fingerprint: String): Set<EndpointId> = quarantine.endpointsOf(fingerprint, time())

    private fun suspect(suspicion: Suspicion) {
        val quarantined = synchronized(this) { quarantine.onSuspicion(suspicion, time()) }
        logger.event("request_suspected", Level.WARN) {
            field("fingerprint", suspicion.fingerprint)
            field("endpoint", suspicion.endpoint)
            field("quarantined", quarantined)
        }
        share(suspicion)
    }

    /** Asks until the endpoint answers: a crash has left it down, or up for less time than since the break. */
    private fun assess(endpoint: Endpoint, brokeMs: Long, beganMs: Long): CompletableFuture<Boolean> =
        loads.fetch(endpoint).thenCompose { answer ->
            val nowMs = clock()
            when {
                answer is LoadResult.Down -> CompletableFuture.completedFuture(true)
                answer is LoadResult.Known ->
                    CompletableFuture.completedFuture(answer.load.uptimeMs < nowMs - brokeMs + UPTIME_SLACK_MS)
                nowMs - beganMs > ASSESSMENT_MS -> CompletableFuture.completedFuture(false)
                else -> later().thenCompose { assess(endpoint, brokeMs, beganMs) }
            }
        }

    private fun later(): CompletableFuture<Unit> =
        CompletableFuture.supplyAsync({ }, CompletableFuture.delayedExecutor(ASK_AGAIN_MS, TimeUnit.MILLISECONDS))
}
