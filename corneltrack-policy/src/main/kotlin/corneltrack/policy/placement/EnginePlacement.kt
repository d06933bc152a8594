package corneltrack.policy.placement

import corneltrack.world.EndpointId

/** The part of a shared beginning that its preferred is taken to keep, since other routers send there too. */
private const val PREFERRED_CACHED_FRACTION = 1.0
private const val SECOND_CACHED_FRACTION = 0.5

/** How much a choice avoids reading again, in multiples of the reading's own time. */
private const val MISS_SCORE_WEIGHT = 20.0

/** What a utilization engine would read again counts against the limit too: under overload it is work taken from others. */
private const val MISS_LIMIT_WEIGHT = 20.0

/** The prefillTokens tokens at which an engine is as utilization as it gets. */
private const val BUSY_PREFILL_TOKENS = 8_000.0

/** Leaves room for what peers have sent since their last digest. */
private const val BATCH_SLOT_UTILIZATION = 0.95
private const val KV_CACHE_UTILIZATION = 0.9

/** The part of the time left that the expected end may take, since engines slow down while a stream runs. */
private const val FINISH_TIME_FRACTION = 0.75

/** The part of the pause limit that an engine's present pausesTooLong may take. */
private const val PAUSE_LIMIT_FRACTION = 0.6

/** Prompts shorter than this stretch no pause. */
private const val MINIMUM_PAUSING_TOKENS = 300
private const val MINIMUM_RETRY_AFTER_MS = 200L

/**
 * Describes one engine to choose from.
 *
 * @property networkDelayMs the time that the network adds to the first event, in ms. It counts against the limit only: a
 *   farther engine that has the prompt's beginning is the better choice as long as it answers in time.
 * @property penaltyMs what speaks against using it, as time: billed traffic between regions, prompts of another size.
 */
public data class EngineCandidate(
    val id: EndpointId,
    val load: EngineLoad,
    val prefixCache: PrefixCacheEstimate,
    val batchSlots: Int,
    val kvCacheTokens: Long,
    val networkDelayMs: Double,
    val penaltyMs: Double,
)

/**
 * Describes the request to place.
 *
 * @property waitLimitMs the longest expected wait for the first event at which it is still sent.
 * @property queueLimitMs the longest expected wait before its own prompt is read at which it is sent all the same, so
 *   that a prompt too long for the objective is not refused for ever.
 * @property timeLeftMs the time in which the whole answer must have come.
 * @property pauseLimitMs the longest pause between two events at which an answer is on time.
 * @property missWeight how much of its weight counts against the limits what a utilization engine would read again: 1 for all.
 */
public data class PlacementRequest(
    val generation: Generation,
    val waitLimitMs: Double,
    val queueLimitMs: Double,
    val timeLeftMs: Double,
    val pauseLimitMs: Double = Double.POSITIVE_INFINITY,
    val missWeight: Double = 1.0,
)

/** Tells what keeps an engine from taking a request. */
public enum class RefusalReason {
    /** There is no engine. */
    NO_ENGINE,

    /** Its first event would come too late. */
    LATE_START,

    /** Its streams pause so long between two events that more to read would make them late. */
    LONG_PAUSES,

    /** Its last event would come too late. */
    LATE_FINISH,

    /** All batchSlots are taken. */
    NO_PLACE,

    /** The kvCacheTokens is used up. */
    NO_MEMORY,
}

/** Tells where a request goes. */
public sealed interface PlacementDecision {
    /**
     * The request goes to [candidate].
     *
     * @property prefillTokens the tokens of its prompt that the engine has to read.
     * @property missedTokens those of them that belong to shared segments.
     */
    public data class Chosen(
        val candidate: EngineCandidate,
        val expectedWaitMs: Double,
        val prefillTokens: Int,
        val missedTokens: Int,
    ) : PlacementDecision

    /**
     * No engine can take the request; one may be able to after [retryAfterMs].
     *
     * @property reason what cachedTokens the engine with the shortest wait from taking it.
     */
    public data class Refused(
        val reason: RefusalReason,
        val expectedWaitMs: Double,
        val retryAfterMs: Long,
    ) : PlacementDecision
}

/**
 * Chooses an engine by the expected wait for the first event and by what it keeps of the prompt.
 *
 * Answers a load of long prompts with shared beginnings that exceeds what the engines can read: requests that share a
 * beginning meet at the same engine as long as its queue is short, and what cannot start in time is refused at once.
 *
 * @param retentionMs how long engines keep a part of a prompt after its last use.
 */
public fun placeGeneration(
    request: PlacementRequest,
    candidates: List<EngineCandidate>,
    retentionMs: Long,
    nowMs: Long,
): PlacementDecision {
    val scored = candidates.withCachedTokens(request.generation, retentionMs, nowMs)
        .map { (candidate, cachedTokens) -> ScoredCandidate(candidate, request, cachedTokens, nowMs) }
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

private class ScoredCandidate(val candidate: EngineCandidate, request: PlacementRequest, cachedTokens: Double, nowMs: Long) {
    private val generation = request.generation
    private val load = candidate.load
    private val total = load.total(nowMs)
    val prefillTokens = (generation.promptTokens - cachedTokens).toInt().coerceAtLeast(0)
    val waitMs = FIRST_EVENT_OVERHEAD_MS + (total.pendingPrefillTokens + prefillTokens) * load.prefillMsPerToken + candidate.networkDelayMs
    val missedTokens = (generation.sharedTokens - cachedTokens).toInt().coerceAtLeast(0)
    private val missMs = missedTokens * load.prefillMsPerToken
    val score = waitMs - candidate.networkDelayMs + candidate.penaltyMs + MISS_SCORE_WEIGHT * missMs
    private val queueMs = FIRST_EVENT_OVERHEAD_MS + total.pendingPrefillTokens * load.prefillMsPerToken + candidate.networkDelayMs
    private val finishMs = waitMs + generation.outputTokens * load.decodeMsPerToken
    private val kvCacheTokens = total.kvCacheTokens + prefillTokens + generation.outputTokens
    private val utilization = maxOf(total.running.toDouble() / candidate.batchSlots, total.pendingPrefillTokens / BUSY_PREFILL_TOKENS)
    private val missPenaltyMs = MISS_LIMIT_WEIGHT * request.missWeight * minOf(1.0, utilization) * missMs
    private val startsInTime =
        waitMs + missPenaltyMs <= request.waitLimitMs || queueMs + missPenaltyMs <= request.queueLimitMs

    private val pausesTooLong =
        prefillTokens >= MINIMUM_PAUSING_TOKENS && load.recentPauseMs(nowMs) > request.pauseLimitMs * PAUSE_LIMIT_FRACTION

    fun chosen() = PlacementDecision.Chosen(candidate, waitMs, prefillTokens, missedTokens)

    /** What keeps the engine from taking the request, or null. */
    val reason: RefusalReason? = when {
        !startsInTime -> RefusalReason.LATE_START
        pausesTooLong -> RefusalReason.LONG_PAUSES
        finishMs > request.timeLeftMs * FINISH_TIME_FRACTION -> RefusalReason.LATE_FINISH
        total.running >= candidate.batchSlots * BATCH_SLOT_UTILIZATION -> RefusalReason.NO_PLACE
        kvCacheTokens > candidate.kvCacheTokens * KV_CACHE_UTILIZATION -> RefusalReason.NO_MEMORY
        else -> null
    }
}

/** Pairs each candidate with the tokens that it is expected to have of the prompt. */
private fun List<EngineCandidate>.withCachedTokens(
    generation: Generation,
    retentionMs: Long,
    nowMs: Long,
): List<Pair<EngineCandidate, Double>> {
    val (preferred, second) = preferredEngines(generation)
    return map { candidate ->
        val observed = candidate.prefixCache.cachedTokens(generation.segments, nowMs, retentionMs).toDouble()
        val assumed = when (candidate) {
            preferred -> PREFERRED_CACHED_FRACTION
            second -> SECOND_CACHED_FRACTION
            else -> 0.0
        } * generation.sharedTokens
        candidate to maxOf(observed, assumed)
    }
}

/** Returns the first and second candidate by rendezvous hashing of the last shared part. */
private fun List<EngineCandidate>.preferredEngines(generation: Generation): Pair<EngineCandidate?, EngineCandidate?> {
    val key = generation.lastSharedSegment?.prefixHash ?: return null to null
    val rank = { candidate: EngineCandidate -> mixHash(key, candidate.id.value.hashCode().toLong()) }
    val preferred = minByOrNull(rank)
    return preferred to filter { it !== preferred }.minByOrNull(rank)
}
