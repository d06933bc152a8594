package corneltrack.policy.placement

private const val MIX_FACTOR = -0x61c8864680b583ebL
private const val MIX_SHIFT = 29

/**
 * Names a part of a prompt together with all segments before it.
 *
 * @property prefixHash hashes the part's own name with those of all segments before it.
 */
public data class PromptSegment(val prefixHash: Long, val tokens: Int)

/**
 * Describes the work of one request to a model engine.
 *
 * @property segments the segments of the prompt in order; the last one belongs to this request or its session.
 * @property outputTokens the tokens that it is expected to generate.
 */
public data class Generation(val segments: List<PromptSegment>, val promptTokens: Int, val outputTokens: Int) {
    /** The tokens of segments that other requests may share. */
    val sharedTokens: Int = segments.dropLast(1).sumOf { it.tokens }

    /** The last part that other requests may share, or null. */
    val lastSharedSegment: PromptSegment? get() = segments.getOrNull(segments.size - 2)

    /** What it costs: each token read counts once, each token generated twice. */
    val cost: Long get() = promptTokens + 2L * outputTokens
}

/** Returns the segments named [names] with [tokens] each, chained in order. */
public fun promptSegments(names: List<Long>, tokens: List<Int>): List<PromptSegment> {
    var prefixHash = 0L
    return names.zip(tokens) { name, size ->
        prefixHash = mixHash(prefixHash, name)
        PromptSegment(prefixHash, size)
    }
}

/** Returns a hash of two numbers in which each bit depends on all bits of both. */
internal fun mixHash(first: Long, second: Long): Long {
    val joined = (first * MIX_FACTOR) xor second
    val spread = (joined xor (joined ushr MIX_SHIFT)) * MIX_FACTOR
    return spread xor (spread ushr MIX_SHIFT)
}
