package corneltrack.policy.placement

/** The memory of one segment in an estimate: an entry of its map, a boxed hash and the times of its use, in bytes. */
private const val SEGMENT_BYTES = 96

/**
 * Bounds the prompt segments that the estimates of all engines hold together.
 *
 * Answers callers whose prompts have very many parts, each of which would be held for each engine that got it. Where
 * the bound is exceeded, an estimate that holds more than an equal part forgets what it used least recently. Not
 * thread-safe.
 *
 * @param maximumSegments what all estimates may hold.
 */
public class PrefixCapacity(private val maximumSegments: Int) {
    private var estimates = 0

    /** The segments that all estimates hold. */
    public var heldSegments: Int = 0
        private set

    internal fun onEstimateAdded() {
        estimates++
    }

    internal fun onEstimateRemoved() {
        estimates--
    }

    /** Records that an estimate has grown by [segments], or shrunk where they are negative. */
    internal fun onGrown(segments: Int) {
        heldSegments += segments
    }

    /** Whether an estimate of [segments] has to forget one. */
    internal fun isShort(segments: Int): Boolean =
        heldSegments > maximumSegments && segments.toLong() * estimates > maximumSegments

    public companion object {
        /** Returns a capacity whose segments take at most [bytes]. */
        public fun ofBytes(bytes: Long): PrefixCapacity = PrefixCapacity((bytes / SEGMENT_BYTES).toInt())
    }
}
