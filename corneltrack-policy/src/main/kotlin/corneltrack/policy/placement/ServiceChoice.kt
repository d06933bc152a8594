package corneltrack.policy.placement

/** The factor by which an endpoint with an idle connection may be slower and is still preferred. */
private const val ABOUT_EQUAL_FACTOR = 1.25

/** Holds an endpoint that may be chosen and its expected response time. */
public class TimedCandidate(public val candidate: ServiceCandidate, public val responseTimeMs: Double)

/** Chooses one of the candidates, of which there is at least one; the second argument returns random numbers. */
public typealias ServiceChoice = (List<TimedCandidate>, () -> Double) -> TimedCandidate

/**
 * Returns the better one of two candidates chosen at random.
 *
 * Many routers that choose the best one by old reports all choose the same (herding); of two at random, one
 * endpoint gets no more than a small part of the requests however old the reports are.
 */
public fun chooseOfTwo(candidates: List<TimedCandidate>, random: () -> Double): TimedCandidate {
    val first = (random() * candidates.size).toInt()
    val second = (first + 1 + (random() * (candidates.size - 1)).toInt()) % candidates.size
    return minOf(candidates[first], candidates[second], compareBy { it.responseTimeMs })
}

/** Returns the better one of two random candidates, or one that is about as fast and has an idle connection. */
public fun chooseConnectedOfTwo(candidates: List<TimedCandidate>, random: () -> Double): TimedCandidate {
    val better = chooseOfTwo(candidates, random)
    val connected = candidates.filter { it.candidate.connected }.minByOrNull { it.responseTimeMs }
    val aboutEqual = connected != null && connected.responseTimeMs <= better.responseTimeMs * ABOUT_EQUAL_FACTOR
    return if (connected != null && aboutEqual) connected else better
}
