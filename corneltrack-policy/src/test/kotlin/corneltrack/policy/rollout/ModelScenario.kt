package corneltrack.policy.rollout

import kotlin.random.Random

/** What the version of the model's order does. */
internal enum class ModelVersion(val text: String, val failing: Double = 0.0, val slower: Double = 1.0) {
    GOOD("good"),
    FEW("5 of 100 fail", failing = 0.05),
    SOME("20 of 100 fail", failing = 0.2),
    MOST("60 of 100 fail", failing = 0.6),
    SLOW("three times slower", slower = 3.0),
    LATE("40 of 100 fail after half", failing = 0.4),
    ROUTE("40 of 100 fail on one route", failing = 0.4),
    LOAD("40 of 100 fail under load", failing = 0.4),
}

/** What fails besides. */
internal enum class ModelFault(val text: String) {
    CALM("calm"),
    DECIDER_KILLED("decider killed"),
    PARTITION("a third partitioned"),
    STORE("store unavailable"),
}

/** One combination of the model. */
internal data class ModelScenario(
    val version: ModelVersion,
    val routers: Int,
    val fault: ModelFault,
    val requestsPerSecond: Int = 1_000,
    val endpoints: Int = 24,
    val firstCredit: Boolean = true,
) {
    val text: String get() = "${version.text} | $routers | ${fault.text} | $requestsPerSecond"
}

/** What came of one run; times in ms since the order. */
internal data class ModelResult(
    val phase: RolloutPhase?,
    val endedMs: Long,
    val requests: Long,
    val targetRequests: Long,
    val stopAfterFiftiethMs: Long,
    val sentToStoppedVersion: Int,
) {
    val exposure: Double get() = targetRequests.toDouble() / maxOf(1, requests)

    /** The exposure beyond the bound of 0.1 of all requests and 50, in requests. */
    val overBound: Double get() = targetRequests - EXPOSURE_SHARE * requests - EXPOSURE_SLACK

    private companion object {
        const val EXPOSURE_SHARE = 0.1
        const val EXPOSURE_SLACK = 50
    }
}

/** A route of the modelled pool; times in ms. */
internal class ModelRoute(val weight: Double, val failing: Double, val firstEventMs: Double, val streamMs: Double) {
    fun durationMs(response: RolloutResponse): Double =
        (response.firstEventRatio ?: 0.0) * firstEventMs + (response.pauseRatio ?: 0.0) * streamMs
}

/** Whether a response counts as bad by the rule of the plan, with a median of the baseline of 1. */
internal fun RolloutResponse.isBad(): Boolean =
    failed || (firstEventRatio ?: 0.0) > SLOW_RATIO || (pauseRatio ?: 0.0) > SLOW_RATIO

private const val SLOW_RATIO = 2.5

internal val MODEL_ROUTES = listOf(
    ModelRoute(0.3, 0.002, 120.0, 0.0),
    ModelRoute(0.25, 0.002, 300.0, 1_400.0),
    ModelRoute(0.2, 0.14, 150.0, 0.0),
    ModelRoute(0.15, 0.005, 250.0, 900.0),
    ModelRoute(0.1, 0.002, 80.0, 0.0),
)

internal fun Random.route(): Int {
    var left = nextDouble()
    return MODEL_ROUTES.indices.firstOrNull { index ->
        left -= MODEL_ROUTES[index].weight
        left < 0
    } ?: 0
}

/** A ratio of observed to expected time of a response that is as it should be. */
internal fun Random.ratio(deviation: Double): Double {
    var sum = -6.0
    repeat(12) { sum += nextDouble() }
    return kotlin.math.exp(deviation * sum)
}
