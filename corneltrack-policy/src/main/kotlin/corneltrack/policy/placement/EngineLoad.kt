package corneltrack.policy.placement

import corneltrack.world.InstanceId

/** The prefill time of one token assumed before the first sample, and the bounds of a sample, in ms. */
private const val INITIAL_PREFILL_MS_PER_TOKEN = 0.02
private const val MINIMUM_PREFILL_MS_PER_TOKEN = 0.004
private const val MAXIMUM_PREFILL_MS_PER_TOKEN = 0.5

/** The time between two tokens of a stream assumed before the first sample, in ms. */
private const val INITIAL_DECODE_MS_PER_TOKEN = 10.0

/** The weights of a new sample in the moving averages. */
private const val PREFILL_SMOOTHING = 0.08
private const val DECODE_SMOOTHING = 0.02
private const val PAUSE_SMOOTHING = 0.25

/** The samples that the averages stand for. */
private const val PREFILL_SAMPLES = 12
private const val DECODE_SAMPLES = 50

/** The time for which an observed pause counts as recent, in ms. */
private const val PAUSE_TTL_MS = 800L

/** The pending tokens at the time of sending, own prompt included, below which a first event is no prefill sample. */
private const val MINIMUM_SAMPLE_TOKENS = 1_000

/** The time after which the last report of an unresponsive peer no longer counts, in ms. */
private const val PEER_REPORT_TIMEOUT_MS = 4_000L

/** The time from arrival at an idle engine to the first event, without the prefill of the prompt, in ms. */
internal const val FIRST_EVENT_OVERHEAD_MS: Double = 25.0

/**
 * Summarizes the requests that one router has in flight at one engine.
 *
 * @property pendingPrefillTokens the prompt tokens sent and not yet processed.
 * @property running the number of requests in flight.
 * @property kvCacheTokens the KV cache tokens that these requests hold, without shared prefixes.
 */
public data class LoadSummary(val pendingPrefillTokens: Long, val running: Int, val kvCacheTokens: Long) {
    public companion object {
        /** No request in flight. */
        public val EMPTY: LoadSummary = LoadSummary(0, 0, 0)
    }

    internal operator fun plus(other: LoadSummary) =
        LoadSummary(
            pendingPrefillTokens + other.pendingPrefillTokens,
            running + other.running,
            kvCacheTokens + other.kvCacheTokens,
        )

    internal operator fun minus(other: LoadSummary) =
        LoadSummary(
            pendingPrefillTokens - other.pendingPrefillTokens,
            running - other.running,
            kvCacheTokens - other.kvCacheTokens,
        )
}

/**
 * Tracks one request in flight at an engine.
 *
 * @property prefillTokens the prompt tokens that the engine has to process for this request.
 * @property kvCacheTokens the KV cache tokens that this request holds until it ends, without its shared prefix.
 * @property queuedTokens the pending prefill tokens of all routers at the time of sending.
 */
public class EngineRequest internal constructor(
    internal val prefillTokens: Int,
    internal val kvCacheTokens: Int,
    internal val queuedTokens: Long,
    internal val sentMs: Long,
) {
    internal var prefilling: Boolean = true
    internal var ended: Boolean = false
}

/**
 * Estimates the load of one engine from the requests that this router sent and those that its peers report.
 *
 * The estimates serve to predict when a further prompt gets its first event and its last. The prefill and decode speeds
 * are moving averages over the observed responses. Where the engines of the pool state their pace, they are merged with
 * what peers have learnt and start from the pool's mean. Not thread-safe.
 *
 * @param pool what is known of the speeds of the pool's engines.
 */
public class EngineLoad(private val pool: PoolSpeeds = PoolSpeeds()) {
    private data class PeerLoad(val summary: LoadSummary, val reportedMs: Long)

    private val peers = HashMap<InstanceId, PeerLoad>()
    private var peerTotal = LoadSummary.EMPTY
    private var nextPeerExpiryMs = Long.MAX_VALUE
    private var pendingPrefillTokens = 0L
    private var running = 0
    private var kvCacheTokens = 0L
    private var pauseMs = 0.0
    private var pauseUpdatedMs = Long.MIN_VALUE / 2

    private val prefill = LearntSpeed(INITIAL_PREFILL_MS_PER_TOKEN, 0)
    private val decode = LearntSpeed(INITIAL_DECODE_MS_PER_TOKEN, 0)
    private val sharedPrefill = SharedSpeed(pool.prefill, prefill)
    private val sharedDecode = SharedSpeed(pool.decode, decode)

    /** The estimated prefill time of one prompt token, in ms. */
    public val prefillMsPerToken: Double get() = sharedPrefill.value.takeIf { pool.shared } ?: prefill.value

    /** The estimated time between two generated tokens of one stream, in ms. */
    public val decodeMsPerToken: Double get() = sharedDecode.value.takeIf { pool.shared } ?: decode.value

    /** What this router itself has learnt of the engine's speed. */
    public val ownSpeeds: EngineSpeeds get() = EngineSpeeds(prefill, decode)

    /** Records what [peer] has learnt of the engine's speed. */
    public fun onPeerSpeeds(peer: InstanceId, speeds: EngineSpeeds, nowMs: Long) {
        sharedPrefill.onPeer(peer, speeds.prefill, nowMs)
        sharedDecode.onPeer(peer, speeds.decode, nowMs)
    }

    /** Removes the engine, which is gone or has restarted, from the pool's mean speeds. */
    public fun leavePool() {
        sharedPrefill.forget()
        sharedDecode.forget()
    }

    /** The requests that this router has in flight. */
    public val ownLoad: LoadSummary get() = LoadSummary(pendingPrefillTokens, running, kvCacheTokens)

    /** Returns the requests that this router and its peers have in flight. */
    public fun total(nowMs: Long): LoadSummary {
        if (nowMs > nextPeerExpiryMs) dropExpiredPeers(nowMs)
        return ownLoad + peerTotal
    }

    /** Records the requests that [peer] reports to have in flight at this engine. */
    public fun onPeer(peer: InstanceId, summary: LoadSummary, nowMs: Long) {
        val previous =
            if (summary == LoadSummary.EMPTY) peers.remove(peer) else peers.put(peer, PeerLoad(summary, nowMs))
        if (previous != null) peerTotal -= previous.summary
        peerTotal += summary
        nextPeerExpiryMs = minOf(nextPeerExpiryMs, nowMs + PEER_REPORT_TIMEOUT_MS)
    }

    private fun dropExpiredPeers(nowMs: Long) {
        peers.values.removeIf { nowMs - it.reportedMs > PEER_REPORT_TIMEOUT_MS }
        peerTotal = peers.values.fold(LoadSummary.EMPTY) { sum, peer -> sum + peer.summary }
        nextPeerExpiryMs = peers.values.minOfOrNull { it.reportedMs + PEER_REPORT_TIMEOUT_MS } ?: Long.MAX_VALUE
    }

    /** Records that a request was sent for which the engine has to prefill [prefillTokens] tokens. */
    public fun onSent(generation: Generation, prefillTokens: Int, nowMs: Long): EngineRequest {
        val cacheTokens = prefillTokens + generation.outputTokens
        val request = EngineRequest(prefillTokens, cacheTokens, total(nowMs).pendingPrefillTokens, nowMs)
        pendingPrefillTokens += prefillTokens
        running++
        kvCacheTokens += cacheTokens
        return request
    }

    /**
     * Records the first event of [request].
     *
     * @param elapsedMs the time since the request was sent, without the network delay, in ms.
     */
    public fun onFirstEvent(request: EngineRequest, elapsedMs: Double) {
        if (!request.prefilling) return
        request.prefilling = false
        pendingPrefillTokens -= request.prefillTokens
        val tokens = request.queuedTokens + request.prefillTokens
        if (tokens >= MINIMUM_SAMPLE_TOKENS) {
            val sample = (elapsedMs - FIRST_EVENT_OVERHEAD_MS).coerceAtLeast(0.0) / tokens
            val bounded = sample.coerceIn(MINIMUM_PREFILL_MS_PER_TOKEN, MAXIMUM_PREFILL_MS_PER_TOKEN)
            sharedPrefill.onSample(bounded, pool.weight(prefill, PREFILL_SMOOTHING), PREFILL_SAMPLES)
        }
    }

    /** Records a later event of a stream, which carries [tokens] tokens and came [sinceLastMs] after the last event. */
    public fun onEvent(sinceLastMs: Long, tokens: Int, nowMs: Long) {
        sharedDecode.onSample(sinceLastMs.toDouble() / tokens, pool.weight(decode, DECODE_SMOOTHING), DECODE_SAMPLES)
        val stale = nowMs - pauseUpdatedMs > PAUSE_TTL_MS
        pauseMs = if (stale) sinceLastMs.toDouble() else pauseMs + PAUSE_SMOOTHING * (sinceLastMs - pauseMs)
        pauseUpdatedMs = nowMs
    }

    /** Returns the recent pause between two events of a stream, in ms; 0 if no stream had an event lately. */
    public fun recentPauseMs(nowMs: Long): Double = if (nowMs - pauseUpdatedMs > PAUSE_TTL_MS) 0.0 else pauseMs

    /** Records that [request] ended, whether it succeeded or not. Further calls for the same request have no effect. */
    public fun onEnd(request: EngineRequest) {
        if (request.ended) return
        request.ended = true
        if (request.prefilling) pendingPrefillTokens -= request.prefillTokens
        running--
        kvCacheTokens -= request.kvCacheTokens
    }
}
