package corneltrack.policy.placement

private const val MIX_FACTOR = -0x61c8864680b583ebL
private const val MIX_SHIFT = 29

/**
 * Names a part of a prompt together with all parts before it.
 *
 * @property chain hashes the part's own name with those of all parts before it.
 */
public data class PromptPart(val chain: Long, val tokens: Int)

/**
 * Describes the work of one request to a model engine.
 *
 * @property parts the parts of the prompt in order; the last one belongs to this request or its session.
 * @property outputTokens the tokens that it is expected to generate.
 */
public data class Generation(val parts: List<PromptPart>, val promptTokens: Int, val outputTokens: Int) {
    /** The tokens of parts that other requests may share. */
    val sharedTokens: Int = parts.dropLast(1).sumOf { it.tokens }

    /** The last part that other requests may share, or null. */
    val sharedPart: PromptPart? get() = parts.getOrNull(parts.size - 2)

    /** What it costs: each token read counts once, each token generated twice. */
    val cost: Long get() = promptTokens + 2L * outputTokens
}

/** Returns the parts named [names] with [tokens] each, chained in order. */
public fun promptParts(names: List<Long>, tokens: List<Int>): List<PromptPart> {
    var chain = 0L
    return names.zip(tokens) { name, size ->
        chain = mixed(chain, name)
        PromptPart(chain, size)
    }
}

/** Returns a hash of two numbers in which each bit depends on all bits of both. */
internal fun mixed(first: Long, second: Long): Long {
    val joined = (first * MIX_FACTOR) xor second
    val spread = (joined xor (joined ushr MIX_SHIFT)) * MIX_FACTOR
    return spread xor (spread ushr MIX_SHIFT)
}
