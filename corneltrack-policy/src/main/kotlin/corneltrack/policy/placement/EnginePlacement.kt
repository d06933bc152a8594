package corneltrack.policy.placement

import corneltrack.world.DataCentreId
import corneltrack.world.EndpointId

/**
 * The fraction of a shared prefix that the preferred engine is assumed to have cached without evidence: other routers
 * prefer the same engine.
 */
private const val PREFERRED_CACHED_FRACTION = 0.6

/** The penalty in the score for prefilling missed tokens, as a multiple of their prefill time. */
private const val MISS_SCORE_WEIGHT = 20.0

/**
 * The penalty against the wait limits for prefilling missed tokens at a fully utilized engine, as a multiple of their
 * prefill time: under overload, processing a prefix again takes capacity from other requests.
 */
private const val MISS_LIMIT_WEIGHT = 20.0

/** What a copied token counts in place of a missed one in both penalties: a copy displaces another prefix as well. */
private const val COPIED_TOKEN_WEIGHT = 0.5

/** The pending prefill tokens at which an engine counts as fully utilized. */
private const val BUSY_PREFILL_TOKENS = 8_000.0

/** The fractions of batch slots and KV cache to fill; the rest covers what peers sent since their last digest. */
private const val MAXIMUM_BATCH_SLOT_UTILIZATION = 0.95
private const val MAXIMUM_KV_CACHE_UTILIZATION = 0.9

/** The fraction of the time left that the expected finish may take, since engines slow down while a stream runs. */
private const val FINISH_TIME_FRACTION = 0.75

/** The fraction of the pause limit that the engine's recent pause between events may take. */
private const val PAUSE_LIMIT_FRACTION = 0.6

/** The prefill size, in tokens, below which a request does not lengthen the pauses of other streams. */
private const val MINIMUM_PAUSING_TOKENS = 300
private const val MINIMUM_RETRY_AFTER_MS = 200L

/**
 * Describes one engine that a request may be sent to.
 *
 * @property batchSlots the requests that the engine runs at once.
 * @property kvCacheTokens the tokens that the engine's KV memory holds.
 * @property networkDelayMs the time that the network adds to the first event, in ms. It counts against the wait limits
 *   but not in the score: a remote engine that has the prompt's prefix cached is preferred if it responds in time.
 * @property dataCentre the data centre of the engine; copies of cached prefixes within it are preferred.
 * @property penaltyMs an added cost in the score, in ms, for example for billed traffic between regions or for an
 *   engine assigned to another size class.
 */
public data class EngineCandidate(
    val id: EndpointId,
    val load: EngineLoad,
    val prefixCache: PrefixCacheEstimate,
    val batchSlots: Int,
    val kvCacheTokens: Long,
    val networkDelayMs: Double,
    val dataCentre: DataCentreId,
    val penaltyMs: Double,
)

/**
 * Describes a request to place and its limits.
 *
 * @property waitLimitMs the maximum expected wait for the first event, in ms.
 * @property queueLimitMs the maximum queueing delay before the prefill, in ms, up to which the request is sent even if
 *   it exceeds [waitLimitMs]. Without it, a prompt whose prefill alone exceeds the limit would always be refused.
 * @property timeLeftMs the time until the response must be complete, in ms.
 * @property pauseLimitMs the maximum pause between two events of the stream, in ms.
 * @property missWeight the weight, up to 1, at which the prefill of missed tokens counts against the wait limits.
 */
public data class PlacementRequest(
    val generation: Generation,
    val waitLimitMs: Double,
    val queueLimitMs: Double,
    val timeLeftMs: Double,
    val pauseLimitMs: Double = Double.POSITIVE_INFINITY,
    val missWeight: Double = 1.0,
)

/** Describes why a request cannot be placed at an engine. */
public enum class RefusalReason {
    /** There is no candidate. */
    NO_ENGINE,

    /** The first event would exceed the wait limits. */
    LATE_START,

    /** Pauses between events of its streams are so long that another prefill would make them exceed the limit. */
    LONG_PAUSES,

    /** The response would not be complete in time. */
    LATE_FINISH,

    /** No batch slot is free. */
    NO_PLACE,

    /** The KV cache is full. */
    NO_MEMORY,
}

/** Describes where a request is sent. */
public sealed interface PlacementDecision {
    /**
     * The request is sent to [candidate].
     *
     * @property expectedWaitMs the expected wait for the first event, in ms.
     * @property prefillTokens the prompt tokens that the engine has to process.
     * @property missedTokens those of them that belong to the shared prefix.
     * @property transfer the copy of a cached prefix to request of the engine, or null for none.
     */
    public data class Chosen(
        val candidate: EngineCandidate,
        val expectedWaitMs: Double,
        val prefillTokens: Int,
        val missedTokens: Int,
        val transfer: PrefixTransfer? = null,
    ) : PlacementDecision

    /**
     * No engine can serve the request within its limits.
     *
     * @property reason why the engine with the shortest expected wait cannot.
     * @property expectedWaitMs the expected wait at that engine, in ms; infinite if there is none.
     * @property retryAfterMs the time after which a retry may succeed, in ms.
     */
    public data class Refused(
        val reason: RefusalReason,
        val expectedWaitMs: Double,
        val retryAfterMs: Long,
    ) : PlacementDecision
}

/**
 * Chooses the engine for a request by the expected wait for the first event and by the cached tokens of its prompt.
 *
 * Saves prefill under a load of long prompts with shared prefixes: requests with the same prefix go to the same engine
 * as long as its queue is short. A request that cannot start in time is refused at once.
 *
 * @param sources the engines from which a cached prefix may be copied.
 */
public fun placeGeneration(
    request: PlacementRequest,
    candidates: List<EngineCandidate>,
    caching: PrefixCaching,
    nowMs: Long,
    sources: List<EngineCandidate> = candidates,
): PlacementDecision {
    val prefixSources = PrefixSources(sources, request.generation, caching, nowMs)
    val scored = candidates.withPrefix(request.generation, caching, prefixSources, nowMs)
        .map { (candidate, prefix) -> ScoredCandidate(candidate, request, prefix, nowMs) }
    val best = scored.filter { it.reason == null }.minByOrNull { it.score }
    return best?.chosen() ?: refusal(request, scored)
}

private fun refusal(request: PlacementRequest, scored: List<ScoredCandidate>): PlacementDecision.Refused {
    val fastest = scored.minByOrNull { it.waitMs }
    val waitMs = fastest?.waitMs ?: Double.POSITIVE_INFINITY
    val excessMs = if (waitMs.isFinite()) (waitMs - request.waitLimitMs).toLong() else MINIMUM_RETRY_AFTER_MS
    val reason = fastest?.reason ?: RefusalReason.NO_ENGINE
    return PlacementDecision.Refused(reason, waitMs, maxOf(MINIMUM_RETRY_AFTER_MS, excessMs))
}

/**
 * The part of a prompt that one engine need not process.
 *
 * @property tokens the expected number of tokens, cached or copied.
 */
private class AvailablePrefix(val tokens: Double, val transfer: PrefixTransfer?)

/** An engine with its expected wait for a request and its score; the lowest score is the best. */
private class ScoredCandidate(
    val candidate: EngineCandidate,
    request: PlacementRequest,
    private val prefix: AvailablePrefix,
    nowMs: Long,
) {
    private val generation = request.generation
    private val load = candidate.load
    private val total = load.total(nowMs)
    val prefillTokens = (generation.promptTokens - prefix.tokens).toInt().coerceAtLeast(0)
    private val copyMs = prefix.transfer?.durationMs ?: 0.0
    val waitMs = FIRST_EVENT_OVERHEAD_MS + (total.pendingPrefillTokens + prefillTokens) * load.prefillMsPerToken +
        copyMs + candidate.networkDelayMs
    val missedTokens = (generation.sharedTokens - prefix.tokens).toInt().coerceAtLeast(0)
    private val copiedTokens = prefix.transfer?.tokens ?: 0
    private val missMs = (missedTokens + COPIED_TOKEN_WEIGHT * copiedTokens) * load.prefillMsPerToken
    val score = waitMs - candidate.networkDelayMs + candidate.penaltyMs + MISS_SCORE_WEIGHT * missMs
    private val queueMs =
        FIRST_EVENT_OVERHEAD_MS + total.pendingPrefillTokens * load.prefillMsPerToken + candidate.networkDelayMs
    private val finishMs = waitMs + generation.outputTokens * load.decodeMsPerToken
    private val kvCacheTokens = total.kvCacheTokens + prefillTokens + generation.outputTokens
    private val utilization =
        maxOf(total.running.toDouble() / candidate.batchSlots, total.pendingPrefillTokens / BUSY_PREFILL_TOKENS)
    private val missPenaltyMs = MISS_LIMIT_WEIGHT * request.missWeight * minOf(1.0, utilization) * missMs
    private val startsInTime =
        waitMs + missPenaltyMs <= request.waitLimitMs || queueMs + missPenaltyMs <= request.queueLimitMs

    private val pausesTooLong = prefillTokens >= MINIMUM_PAUSING_TOKENS &&
        load.recentPauseMs(nowMs) > request.pauseLimitMs * PAUSE_LIMIT_FRACTION

    fun chosen() = PlacementDecision.Chosen(candidate, waitMs, prefillTokens, missedTokens, prefix.transfer)

    /** The reason why the engine cannot serve the request, or null if it can. */
    val reason: RefusalReason? = when {
        !startsInTime -> RefusalReason.LATE_START
        pausesTooLong -> RefusalReason.LONG_PAUSES
        finishMs > request.timeLeftMs * FINISH_TIME_FRACTION -> RefusalReason.LATE_FINISH
        total.running >= candidate.batchSlots * MAXIMUM_BATCH_SLOT_UTILIZATION -> RefusalReason.NO_PLACE
        kvCacheTokens > candidate.kvCacheTokens * MAXIMUM_KV_CACHE_UTILIZATION -> RefusalReason.NO_MEMORY
        else -> null
    }
}

/** Pairs each candidate with the part of the prompt that it is expected to have cached or can copy. */
private fun List<EngineCandidate>.withPrefix(
    generation: Generation,
    caching: PrefixCaching,
    sources: PrefixSources,
    nowMs: Long,
): List<Pair<EngineCandidate, AvailablePrefix>> {
    val preferred = preferredEngine(generation)
    return map { candidate ->
        val observed = candidate.prefixCache.cachedTokens(generation.segments, nowMs, caching.retentionMs)
        val assumed = if (candidate === preferred) PREFERRED_CACHED_FRACTION * generation.sharedTokens else 0.0
        val transfer = sources.transferTo(candidate, observed)
        val copied = (transfer?.tokens ?: 0) * caching.transferSuccessRate
        candidate to AvailablePrefix(maxOf(observed + copied, assumed), transfer)
    }
}

/** Returns the preferred engine for the shared prefix, by rendezvous hashing; null if there is none. */
private fun List<EngineCandidate>.preferredEngine(generation: Generation): EngineCandidate? {
    val key = generation.lastSharedSegment?.prefixHash ?: return null
    return minByOrNull { mixHash(key, it.id.value.hashCode().toLong()) }
}
