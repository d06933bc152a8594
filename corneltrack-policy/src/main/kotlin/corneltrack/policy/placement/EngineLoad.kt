package corneltrack.policy.placement

import corneltrack.world.InstanceId

private const val INITIAL_MS_PER_TOKEN = 0.02
private const val LOWEST_MS_PER_TOKEN = 0.004
private const val HIGHEST_MS_PER_TOKEN = 0.5
private const val READ_SMOOTHING = 0.08
private const val INITIAL_MS_PER_OUTPUT_TOKEN = 10.0
private const val PACE_SMOOTHING = 0.02
private const val GAP_SMOOTHING = 0.25
private const val GAP_LIFE_MS = 800L
private const val LEAST_SAMPLE_TOKENS = 1_000
private const val PEER_SILENCE_MS = 4_000L

/** The time from the arrival at an idle engine to the first event, without the reading of the prompt, in ms. */
internal const val FIRST_EVENT_OVERHEAD_MS: Double = 25.0

/**
 * Sums up what one router has under way at one engine.
 *
 * @property pendingPrefillTokens prompt tokens that the engine still has to read.
 * @property running requests sent and not ended.
 * @property kvCacheTokens tokens that the running requests keep in the engine's memory, shared parts left out.
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
    internal val aheadTokens: Long,
    internal val sentMs: Long,
) {
    internal var reading: Boolean = true
    internal var ended: Boolean = false
}

/**
 * Estimates the load of one engine from what this router sent there and what its peers say that they sent.
 *
 * Answers the question how long a further prompt waits for its first event. The speeds of reading and generating are
 * learned from the answers. Not thread-safe.
 */
public class EngineLoad {
    private data class PeerLoad(val summary: LoadSummary, val atMs: Long)

    private val peers = HashMap<InstanceId, PeerLoad>()
    private var peerTotal = LoadSummary.EMPTY
    private var heardUntilMs = Long.MAX_VALUE
    private var pendingPrefillTokens = 0L
    private var running = 0
    private var kvCacheTokens = 0L
    private var gapMs = 0.0
    private var gapAtMs = Long.MIN_VALUE / 2

    /** The learned time to read one prompt token, in ms. */
    public var prefillMsPerToken: Double = INITIAL_MS_PER_TOKEN
        private set

    /** The learned time between two tokens of one stream, in ms. */
    public var decodeMsPerToken: Double = INITIAL_MS_PER_OUTPUT_TOKEN
        private set

    /** What this router itself has under way. */
    public val own: LoadSummary get() = LoadSummary(pendingPrefillTokens, running, kvCacheTokens)

    /** Returns what all known routers have under way. */
    public fun total(nowMs: Long): LoadSummary {
        if (nowMs > heardUntilMs) dropSilent(nowMs)
        return own + peerTotal
    }

    /** Takes in what [peer] has under way here. */
    public fun onPeer(peer: InstanceId, summary: LoadSummary, nowMs: Long) {
        val before =
            if (summary == LoadSummary.EMPTY) peers.remove(peer) else peers.put(peer, PeerLoad(summary, nowMs))
        if (before != null) peerTotal -= before.summary
        peerTotal += summary
        heardUntilMs = minOf(heardUntilMs, nowMs + PEER_SILENCE_MS)
    }

    private fun dropSilent(nowMs: Long) {
        peers.values.removeIf { nowMs - it.atMs > PEER_SILENCE_MS }
        peerTotal = peers.values.fold(LoadSummary.EMPTY) { sum, peer -> sum + peer.summary }
        heardUntilMs = peers.values.minOfOrNull { it.atMs + PEER_SILENCE_MS } ?: Long.MAX_VALUE
    }

    /** Notes that a request is sent, of whose prompt [unread] tokens are to be read. */
    public fun onSent(generation: Generation, unread: Int, nowMs: Long): EngineRequest {
        val memory = unread + generation.outputTokens
        val run = EngineRequest(unread, memory, total(nowMs).pendingPrefillTokens, nowMs)
        pendingPrefillTokens += unread
        running++
        kvCacheTokens += memory
        return run
    }

    /** Notes the first event of [run], after [elapsedMs] that the network's share is taken off. */
    public fun onFirstEvent(run: EngineRequest, elapsedMs: Double) {
        if (!run.reading) return
        run.reading = false
        pendingPrefillTokens -= run.prefillTokens
        val tokens = run.aheadTokens + run.prefillTokens
        if (tokens >= LEAST_SAMPLE_TOKENS) {
            val sample = (elapsedMs - FIRST_EVENT_OVERHEAD_MS).coerceAtLeast(0.0) / tokens
            val bounded = sample.coerceIn(LOWEST_MS_PER_TOKEN, HIGHEST_MS_PER_TOKEN)
            prefillMsPerToken += READ_SMOOTHING * (bounded - prefillMsPerToken)
        }
    }

    /** Notes a later event of a stream that carries [tokens] and came [sinceLastMs] after the one before. */
    public fun onEvent(sinceLastMs: Long, tokens: Int, nowMs: Long) {
        decodeMsPerToken += PACE_SMOOTHING * (sinceLastMs.toDouble() / tokens - decodeMsPerToken)
        val stale = nowMs - gapAtMs > GAP_LIFE_MS
        gapMs = if (stale) sinceLastMs.toDouble() else gapMs + GAP_SMOOTHING * (sinceLastMs - gapMs)
        gapAtMs = nowMs
    }

    /** Returns the time between two events of a stream just now, in ms; 0 where no stream has shown it lately. */
    public fun recentPauseMs(nowMs: Long): Double = if (nowMs - gapAtMs > GAP_LIFE_MS) 0.0 else gapMs

    /** Notes the end of [run], however it came about. */
    public fun onEnd(run: EngineRequest) {
        if (run.ended) return
        run.ended = true
        if (run.reading) pendingPrefillTokens -= run.prefillTokens
        running--
        kvCacheTokens -= run.kvCacheTokens
    }
}
