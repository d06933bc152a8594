package corneltrack.policy.placement

import corneltrack.world.EndpointId

/** The part of a shared beginning that its home is taken to keep, since other routers send there too. */
private const val HOME_KEPT = 1.0
private const val SECOND_KEPT = 0.5

/** How much a choice avoids reading again, in multiples of the reading's own time. */
private const val MISS_WEIGHT = 20.0

/** What a busy engine would read again counts against the limit too: under overload it is work taken from others. */
private const val MISS_LIMIT_WEIGHT = 20.0

/** The unread tokens at which an engine is as busy as it gets. */
private const val BUSY_UNREAD_TOKENS = 8_000.0

/** Leaves room for what peers have sent since their last digest. */
private const val PLACES_USED = 0.95
private const val MEMORY_USED = 0.9

/** The part of the time left that the expected end may take, since engines slow down while a stream runs. */
private const val FINISH_MARGIN = 0.75

/** The part of the pause limit that an engine's present pauses may take. */
private const val PAUSE_USED = 0.6

/** Prompts shorter than this stretch no pause. */
private const val PAUSING_TOKENS = 300
private const val SHORTEST_RETRY_MS = 200L

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
 * @property missWeight how much of its weight counts against the limits what a busy engine would read again: 1 for all.
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

    /** The memory is used up. */
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
     * @property reason what kept the engine with the shortest wait from taking it.
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
    val options = candidates.withKeptTokens(request.generation, retentionMs, nowMs)
        .map { (candidate, kept) -> Option(candidate, request, kept, nowMs) }
    val best = options.filter { it.reason == null }.minByOrNull { it.score }
    return best?.chosen() ?: refusal(request, options)
}

private fun refusal(request: PlacementRequest, options: List<Option>): PlacementDecision.Refused {
    val nearest = options.minByOrNull { it.waitMs }
    val waitMs = nearest?.waitMs ?: Double.POSITIVE_INFINITY
    val excessMs = if (waitMs.isFinite()) (waitMs - request.waitLimitMs).toLong() else SHORTEST_RETRY_MS
    val reason = nearest?.reason ?: RefusalReason.NO_ENGINE
    return PlacementDecision.Refused(reason, waitMs, maxOf(SHORTEST_RETRY_MS, excessMs))
}

private class Option(val candidate: EngineCandidate, request: PlacementRequest, kept: Double, nowMs: Long) {
    private val generation = request.generation
    private val load = candidate.load
    private val total = load.total(nowMs)
    val unread = (generation.promptTokens - kept).toInt().coerceAtLeast(0)
    val waitMs = FIRST_EVENT_OVERHEAD_MS + (total.pendingPrefillTokens + unread) * load.prefillMsPerToken + candidate.networkDelayMs
    val missed = (generation.sharedTokens - kept).toInt().coerceAtLeast(0)
    private val againMs = missed * load.prefillMsPerToken
    val score = waitMs - candidate.networkDelayMs + candidate.penaltyMs + MISS_WEIGHT * againMs
    private val queueMs = FIRST_EVENT_OVERHEAD_MS + total.pendingPrefillTokens * load.prefillMsPerToken + candidate.networkDelayMs
    private val finishMs = waitMs + generation.outputTokens * load.decodeMsPerToken
    private val memory = total.kvCacheTokens + unread + generation.outputTokens
    private val busy = maxOf(total.running.toDouble() / candidate.batchSlots, total.pendingPrefillTokens / BUSY_UNREAD_TOKENS)
    private val wasteMs = MISS_LIMIT_WEIGHT * request.missWeight * minOf(1.0, busy) * againMs
    private val startsInTime =
        waitMs + wasteMs <= request.waitLimitMs || queueMs + wasteMs <= request.queueLimitMs

    private val pauses =
        unread >= PAUSING_TOKENS && load.recentPauseMs(nowMs) > request.pauseLimitMs * PAUSE_USED

    fun chosen() = PlacementDecision.Chosen(candidate, waitMs, unread, missed)

    /** What keeps the engine from taking the request, or null. */
    val reason: RefusalReason? = when {
        !startsInTime -> RefusalReason.LATE_START
        pauses -> RefusalReason.LONG_PAUSES
        finishMs > request.timeLeftMs * FINISH_MARGIN -> RefusalReason.LATE_FINISH
        total.running >= candidate.batchSlots * PLACES_USED -> RefusalReason.NO_PLACE
        memory > candidate.kvCacheTokens * MEMORY_USED -> RefusalReason.NO_MEMORY
        else -> null
    }
}

/** Pairs each candidate with the tokens that it is expected to have of the prompt. */
private fun List<EngineCandidate>.withKeptTokens(
    generation: Generation,
    retentionMs: Long,
    nowMs: Long,
): List<Pair<EngineCandidate, Double>> {
    val (home, second) = homes(generation)
    return map { candidate ->
        val known = candidate.prefixCache.cachedTokens(generation.segments, nowMs, retentionMs).toDouble()
        val guessed = when (candidate) {
            home -> HOME_KEPT
            second -> SECOND_KEPT
            else -> 0.0
        } * generation.sharedTokens
        candidate to maxOf(known, guessed)
    }
}

/** Returns the first and second candidate by rendezvous hashing of the last shared part. */
private fun List<EngineCandidate>.homes(generation: Generation): Pair<EngineCandidate?, EngineCandidate?> {
    val key = generation.lastSharedSegment?.prefixHash ?: return null to null
    val rank = { candidate: EngineCandidate -> mixHash(key, candidate.id.value.hashCode().toLong()) }
    val home = minByOrNull(rank)
    return home to filter { it !== home }.minByOrNull(rank)
}
