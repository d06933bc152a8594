package corneltrack.policy.limits

/** What one response of an endpoint says about the requests that the endpoint takes from the whole fleet. */
public sealed interface StatedLimit {
    /** The response states no limit. */
    public data object None : StatedLimit

    /** The endpoint takes [requestsPerSecond] from all routers together, at least 0. */
    public data class Rate(val requestsPerSecond: Double) : StatedLimit

    /** The response states a limit that is not a number of at least 0. */
    public data class Unreadable(val text: String) : StatedLimit
}

/** Decimal notation with few digits; rates beyond that mean nothing, and neither do signs, exponents and words. */
private val RATE = Regex("[0-9]{1,9}(\\.[0-9]{1,9})?")
private const val MAXIMUM_LOGGED_CHARACTERS = 40

/** Parses the text of a stated limit, or null where a response states none. */
public fun parseStatedLimit(text: String?): StatedLimit {
    val trimmed = text?.trim() ?: return StatedLimit.None
    return if (RATE.matches(trimmed)) {
        StatedLimit.Rate(trimmed.toDouble())
    } else {
        StatedLimit.Unreadable(trimmed.take(MAXIMUM_LOGGED_CHARACTERS))
    }
}
