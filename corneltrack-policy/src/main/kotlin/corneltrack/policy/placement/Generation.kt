package corneltrack.policy.placement

/** 2^64 divided by the golden ratio, as in Fibonacci hashing. */
private const val MIX_FACTOR = -0x61c8864680b583ebL
private const val MIX_SHIFT = 29

/**
 * Identifies a segment of a prompt, by itself and by the prefix that it ends.
 *
 * @property part the name of the segment alone, whatever comes before it.
 * @property prefixHash the hash of the names of this segment and all segments before it.
 * @property tokens the length of the segment alone, in tokens.
 */
public data class PromptSegment(val part: Long, val prefixHash: Long, val tokens: Int)

/**
 * Describes the work that one request causes at a model engine.
 *
 * @property segments the segments of the prompt in order; the last one is specific to this request or its session.
 * @property promptTokens the length of the prompt, in tokens.
 * @property outputTokens the tokens that the engine is expected to generate.
 */
public data class Generation(val segments: List<PromptSegment>, val promptTokens: Int, val outputTokens: Int) {
    /** The tokens of the prefix that other requests may share: all segments but the last. */
    val sharedTokens: Int = segments.dropLast(1).sumOf { it.tokens }

    /** The hashes of the prefixes that other requests may share, the shortest first. */
    val sharedPrefixes: List<Long> get() = segments.dropLast(1).map { it.prefixHash }

    /** The parts that other requests may share, in order. */
    val sharedParts: List<Long> get() = segments.dropLast(1).map { it.part }

    /** The segment that ends the prefix that other requests may share, or null if there is no such prefix. */
    val lastSharedSegment: PromptSegment? get() = segments.getOrNull(segments.size - 2)

    /** The cost of the request, in tokens. */
    val cost: Long get() = TokenCounts(promptTokens, outputTokens).cost

    /** The work for the rest of a stream that was broken off: an unknown part of the output, on average half of it. */
    val remainder: Generation get() = copy(outputTokens = (outputTokens + 1) / 2)
}

/**
 * Holds how many tokens a request has.
 *
 * @property prompt the length of the prompt.
 * @property output the tokens that an engine is expected to generate.
 */
public data class TokenCounts(val prompt: Int, val output: Int) {
    /** The cost of the request, in tokens: a prompt token counts once, a generated token twice. */
    val cost: Long get() = prompt + 2L * output
}

/** Returns the segments of a prompt, in order, from the [names] of its parts and their lengths in [tokens]. */
public fun promptSegments(names: List<Long>, tokens: List<Int>): List<PromptSegment> {
    val count = minOf(names.size, tokens.size)
    val parts = LongArray(count) { names[it] }
    val prefixHashes = LongArray(count)
    var prefixHash = 0L
    for (index in 0 until count) {
        prefixHash = mixHash(prefixHash, parts[index])
        prefixHashes[index] = prefixHash
    }
    return SegmentList(parts, prefixHashes, IntArray(count) { tokens[it] })
}

/** Holds segments in arrays, since a prompt may have a thousand for as long as its stream lasts. */
private class SegmentList(
    private val parts: LongArray,
    private val prefixHashes: LongArray,
    private val tokens: IntArray,
) : AbstractList<PromptSegment>() {
    override val size: Int get() = parts.size

    override fun get(index: Int): PromptSegment = PromptSegment(parts[index], prefixHashes[index], tokens[index])
}

/** Returns a hash of two numbers, each bit of which depends on all bits of both. */
internal fun mixHash(first: Long, second: Long): Long {
    val joined = (first * MIX_FACTOR) xor second
    val spread = (joined xor (joined ushr MIX_SHIFT)) * MIX_FACTOR
    return spread xor (spread ushr MIX_SHIFT)
}
