package corneltrack.router.relay.rollout

import corneltrack.policy.rollout.RolloutResponse

/** The responses of the baseline that set the scale of a route. */
private const val SCALE_RESPONSES = 5

/**
 * Scales the ratios of observed to expected times of one route, so that the baseline's are about 1, whatever the
 * route's requests take. The scale is set once and is the same for both versions: one that moved would let a version
 * look slow whose responses come later or earlier than the other's. Only used on the event loop.
 */
internal class RatioScale {
    private val firstEvents = ArrayList<Double>()
    private val pauses = ArrayList<Double>()

    /** Returns [response] with scaled ratios, without those whose scale is not set yet. */
    fun scaled(response: RolloutResponse, baseline: Boolean): RolloutResponse = response.copy(
        firstEventRatio = response.firstEventRatio?.let { scaled(it, firstEvents, baseline) },
        pauseRatio = response.pauseRatio?.let { scaled(it, pauses, baseline) },
    )

    private fun scaled(ratio: Double, samples: MutableList<Double>, baseline: Boolean): Double? {
        val scale = if (samples.size < SCALE_RESPONSES) null else samples.sorted()[SCALE_RESPONSES / 2]
        if (scale == null && baseline) samples += ratio
        return scale?.let { ratio / it }
    }
}
