package corneltrack.policy.placement

import corneltrack.world.InstanceId

private const val INITIAL_PREFILL_MS_PER_TOKEN = 0.02
private const val MINIMUM_PREFILL_MS_PER_TOKEN = 0.004
private const val MAXIMUM_PREFILL_MS_PER_TOKEN = 0.5
private const val PREFILL_SMOOTHING = 0.08
private const val INITIAL_DECODE_MS_PER_TOKEN = 10.0
private const val DECODE_SMOOTHING = 0.02
private const val PAUSE_SMOOTHING = 0.25
private const val PAUSE_TTL_MS = 800L
private const val MINIMUM_SAMPLE_TOKENS = 1_000
private const val PEER_REPORT_TIMEOUT_MS = 4_000L

/** The time from the arrival at an idle engine to the first event, without the prefilling of the prompt, in ms. */
internal const val FIRST_EVENT_OVERHEAD_MS: Double = 25.0

/**
 * Sums up what one router has under way at one engine.
 *
 * @property pendingPrefillTokens prompt tokens that the engine still has to read.
 * @property running requests sent and not ended.
 * @property kvCacheTokens tokens that the running requests keep in the engine's cacheTokens, shared parts left out.
 */
public data class LoadSummary(val pendingPrefillTokens: Long, val running: Int, val kvCacheTokens: Long) {
    public companion object {
        /** Nothing under way. */
        public val EMPTY: LoadSummary = LoadSummary(0, 0, 0)
    }

    internal operator fun plus(other: LoadSummary) =
        LoadSummary(pendingPrefillTokens + other.pendingPrefillTokens, running + other.running, kvCacheTokens + other.kvCacheTokens)

    internal operator fun minus(other: LoadSummary) =
        LoadSummary(pendingPrefillTokens - other.pendingPrefillTokens, running - other.running, kvCacheTokens - other.kvCacheTokens)
}

/** Tracks one request at an engine from its sending to its end. */
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
 * Estimates the load of one engine from what this router sent there and what its peers say that they sent.
 *
 * Answers the question how long a further prompt waits for its first event. The speeds of prefilling and generating are
 * learned from the answers. Not thread-safe.
 */
public class EngineLoad {
    private data class PeerLoad(val summary: LoadSummary, val reportedMs: Long)

    private val peers = HashMap<InstanceId, PeerLoad>()
    private var peerTotal = LoadSummary.EMPTY
    private var nextPeerExpiryMs = Long.MAX_VALUE
    private var pendingPrefillTokens = 0L
    private var running = 0
    private var kvCacheTokens = 0L
    private var pauseMs = 0.0
    private var pauseUpdatedMs = Long.MIN_VALUE / 2

    /** The learned time to read one prompt token, in ms. */
    public var prefillMsPerToken: Double = INITIAL_PREFILL_MS_PER_TOKEN
        private set

    /** The learned time between two tokens of one stream, in ms. */
    public var decodeMsPerToken: Double = INITIAL_DECODE_MS_PER_TOKEN
        private set

    /** What this router itself has under way. */
    public val own: LoadSummary get() = LoadSummary(pendingPrefillTokens, running, kvCacheTokens)

    /** Returns what all known routers have under way. */
    public fun total(nowMs: Long): LoadSummary {
        if (nowMs > nextPeerExpiryMs) dropExpiredPeers(nowMs)
        return own + peerTotal
    }

    /** Takes in what [peer] has under way here. */
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

    /** Notes that a request is sent, of whose prompt [prefillTokens] tokens are to be read. */
    public fun onSent(generation: Generation, prefillTokens: Int, nowMs: Long): EngineRequest {
        val cacheTokens = prefillTokens + generation.outputTokens
        val request = EngineRequest(prefillTokens, cacheTokens, total(nowMs).pendingPrefillTokens, nowMs)
        pendingPrefillTokens += prefillTokens
        running++
        kvCacheTokens += cacheTokens
        return request
    }

    /** Notes the first event of [request], after [elapsedMs] that the network's share is taken off. */
    public fun onFirstEvent(request: EngineRequest, elapsedMs: Double) {
        if (!request.prefilling) return
        request.prefilling = false
        pendingPrefillTokens -= request.prefillTokens
        val tokens = request.queuedTokens + request.prefillTokens
        if (tokens >= MINIMUM_SAMPLE_TOKENS) {
            val sample = (elapsedMs - FIRST_EVENT_OVERHEAD_MS).coerceAtLeast(0.0) / tokens
            val bounded = sample.coerceIn(MINIMUM_PREFILL_MS_PER_TOKEN, MAXIMUM_PREFILL_MS_PER_TOKEN)
            prefillMsPerToken += PREFILL_SMOOTHING * (bounded - prefillMsPerToken)
        }
    }

    /** Notes a later event of a stream that carries [tokens] and came [sinceLastMs] after the one previous. */
    public fun onEvent(sinceLastMs: Long, tokens: Int, nowMs: Long) {
        decodeMsPerToken += DECODE_SMOOTHING * (sinceLastMs.toDouble() / tokens - decodeMsPerToken)
        val stale = nowMs - pauseUpdatedMs > PAUSE_TTL_MS
        pauseMs = if (stale) sinceLastMs.toDouble() else pauseMs + PAUSE_SMOOTHING * (sinceLastMs - pauseMs)
        pauseUpdatedMs = nowMs
    }

    /** Returns the time between two events of a stream just now, in ms; 0 where no stream has shown it lately. */
    public fun recentPauseMs(nowMs: Long): Double = if (nowMs - pauseUpdatedMs > PAUSE_TTL_MS) 0.0 else pauseMs

    /** Notes the end of [request], however it came about. */
    public fun onEnd(request: EngineRequest) {
        if (request.ended) return
        request.ended = true
        if (request.prefilling) pendingPrefillTokens -= request.prefillTokens
        running--
        kvCacheTokens -= request.kvCacheTokens
    }
}
