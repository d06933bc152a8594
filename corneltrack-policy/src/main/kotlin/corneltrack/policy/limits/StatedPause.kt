package corneltrack.policy.limits

/**
 * The longest pause that is kept to, in ms. An endpoint that needs longer leaves; after this it is asked again, so that
 * an absurd value takes it away for a minute at a time and not until its restart.
 */
private const val MAXIMUM_PAUSE_MS = 60_000L

/** The time over which the callers that a pause turned away come back after its end, in ms. */
private const val RETURN_SPREAD_MS = 500L

/** The shortest delay with which a caller is turned away, in ms, so that it does not come back before the end. */
private const val MINIMUM_RETRY_MS = 100L
private const val MS_PER_SECOND = 1_000.0
private const val MAXIMUM_LOGGED_CHARACTERS = 40

/** Seconds in decimal notation; signs, exponents, words and dates state no time from now. */
private val SECONDS = Regex("[0-9]+(\\.[0-9]+)?")

/** What one refusal of an endpoint says about the time for which it wants no requests of the router that it refused. */
public sealed interface StatedPause {
    /** The response states no pause. */
    public data object None : StatedPause

    /**
     * The endpoint wants nothing for a while.
     *
     * @property durationMs how long the router keeps to it, in ms, at least 0.
     * @property text what the response states, shortened to what is logged.
     */
    public data class Duration(val durationMs: Long, val text: String) : StatedPause

    /** The response states a pause that is not a number of seconds of at least 0. */
    public data class Unreadable(val text: String) : StatedPause
}

/** Parses the texts in which one response states a pause, in seconds; the longest of those that can be read counts. */
public fun parseStatedPause(texts: List<String>): StatedPause {
    val pauses = texts.map { parsePause(it.trim()) }
    return pauses.filterIsInstance<StatedPause.Duration>().maxByOrNull { it.durationMs }
        ?: pauses.firstOrNull()
        ?: StatedPause.None
}

private fun parsePause(text: String): StatedPause {
    val logged = text.take(MAXIMUM_LOGGED_CHARACTERS)
    if (!SECONDS.matches(text)) return StatedPause.Unreadable(logged)
    val durationMs = (text.toDouble() * MS_PER_SECOND).coerceAtMost(MAXIMUM_PAUSE_MS.toDouble())
    return StatedPause.Duration(durationMs.toLong(), logged)
}

/**
 * Returns when a caller may try again whose request has no endpoint until a pause ends, in ms from now.
 *
 * @param remainingMs the time until the end of the pause that ends first.
 * @param random a number in 0..1 that differs between callers, so that they do not come back at one instant.
 */
public fun retryAfterPauseMs(remainingMs: Long, random: Double): Long =
    maxOf(MINIMUM_RETRY_MS, remainingMs + (random * RETURN_SPREAD_MS).toLong())
