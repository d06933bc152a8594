package corneltrack.policy.placing

import corneltrack.world.EndpointId
import kotlin.math.ceil
import kotlin.math.exp

private const val LANE_KEY = 0x6c616e65L
private const val MEMORY_MS = 10_000.0
private const val HEADROOM = 1.3
private const val LARGEST_SHARE = 0.5

/**
 * Sets engines apart for long prompts.
 *
 * Answers a load in which a few prompts are many times as long as the rest: while an engine reads the far end of a long
 * prompt, every step of all streams beside it takes so long that their pauses exceed what callers accept. Long prompts
 * therefore meet at a few engines, in number by their part of all tokens read. All routers pick the same engines, by
 * rendezvous hashing. Not thread-safe.
 *
 * @param longTokens the prompt length from which a prompt is long.
 */
public class PromptLanes(private val longTokens: Int) {
    private var long = 0.0
    private var all = 0.0
    private var atMs = 0L

    /** Returns whether [generation] has a long prompt. */
    public fun isLong(generation: Generation): Boolean = generation.promptTokens >= longTokens

    /** Notes a request of a caller. */
    public fun onAsked(generation: Generation, nowMs: Long) {
        val factor = exp((atMs - nowMs) / MEMORY_MS)
        val tokens = generation.promptTokens - generation.sharedTokens
        long = long * factor + if (isLong(generation)) tokens else 0
        all = all * factor + tokens
        atMs = nowMs
    }

    /** Returns those of [engines] that long prompts go to; none where there are too few engines to set any apart. */
    public fun laneOf(engines: Collection<EndpointId>): Set<EndpointId> {
        if (engines.size < 2 || long <= 0) return emptySet()
        val wanted = ceil(engines.size * long / all * HEADROOM).toInt()
        val most = (engines.size * LARGEST_SHARE).toInt()
        return engines.sortedBy { mixed(LANE_KEY, it.value.hashCode().toLong()) }.take(minOf(wanted, most)).toSet()
    }
}
