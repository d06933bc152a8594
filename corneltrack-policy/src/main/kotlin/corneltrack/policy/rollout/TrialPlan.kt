package corneltrack.policy.rollout

import corneltrack.world.EndpointId
import kotlin.math.ceil

/** The period in which a trial at less than the load of an old endpoint collects its share and spends it, in ms. */
private const val TRIAL_PERIOD_MS = 2_000L

/**
 * Where and when the trial requests of a pool go.
 *
 * @property endpoints the endpoints of the target version that get trial requests.
 * @property openShare the share of each period in which trial requests are sent, from above 0 to 1. Below 1, the share
 *   of a trial does not load even one endpoint like an old one, so routers save it up and spend it within a part of the
 *   period.
 */
public data class TrialPlan(val endpoints: List<EndpointId>, val openShare: Double) {
    /**
     * Returns whether trial requests are sent at [wallClockMs], in ms since the epoch; the same at all routers but for
     * the difference of their clocks.
     */
    public fun open(wallClockMs: Long): Boolean {
        val position = Math.floorMod(wallClockMs, TRIAL_PERIOD_MS)
        return position >= (1 - openShare) * TRIAL_PERIOD_MS
    }
}

/**
 * Returns the endpoints that the trial concentrates on: as few as carry the load of an old endpoint each.
 *
 * A version that is bad only under load then shows it. The choice depends on nothing that routers may differ in but the
 * listed endpoints.
 *
 * @param targetEndpoints the ready endpoints of the target version, past their cold start if there are any such.
 * @param baselineEndpoints the number of endpoints that carry the rest of the traffic.
 */
public fun trialPlan(
    targetEndpoints: Collection<EndpointId>,
    baselineEndpoints: Int,
    share: Double = TRIAL_SHARE,
): TrialPlan {
    val wanted = share * baselineEndpoints / (1 - share)
    val count = wanted.toInt().coerceIn(1, maxOf(1, targetEndpoints.size))
    val openShare = if (baselineEndpoints == 0) 1.0 else (wanted / count).coerceIn(MINIMUM_OPEN_SHARE, 1.0)
    return TrialPlan(targetEndpoints.sorted().take(count), ceil(openShare * PERCENT) / PERCENT)
}

private const val MINIMUM_OPEN_SHARE = 0.25
private const val PERCENT = 100
