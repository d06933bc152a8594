package corneltrack.router.relay

import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.limits.ColdStartSchedule
import corneltrack.policy.limits.FleetPosition
import corneltrack.policy.limits.FleetRateLimit
import corneltrack.policy.limits.retryAfterPauseMs
import corneltrack.router.relay.rollout.VersionControl
import corneltrack.router.relay.rollout.VersionFilter
import corneltrack.world.routing.RoutedPool
import java.util.concurrent.ThreadLocalRandom

private const val NO_ENDPOINT_RETRY_MS = 1_000L
private const val MINIMUM_RETRY_MS = 100L
private const val MS_PER_SECOND = 1_000.0

/** Describes why an endpoint may not serve an attempt. */
internal enum class Ineligibility {
    /** The endpoint no longer accepts requests, as the store says or one of its responses said. */
    LEAVING,

    /** The endpoint said in a refusal that it wants nothing of this router for a while. */
    PAUSED,

    /** An earlier attempt of the request failed there. */
    TRIED,

    /** The endpoint's data centre is evacuated. */
    EVACUATED,

    /** The request may not be served in the endpoint's region. */
    OUTSIDE_REGIONS,

    /** The endpoint takes only a limited rate of requests, and this router has none left now. */
    AT_LIMIT,

    /** The endpoint's version is not in force, or it is on trial and the attempt is not part of that. */
    VERSION,

    /** The endpoint is cold, and it is not this router's turn there. */
    COLD,
}

/** What does not keep the request from an endpoint when its caller sends it again soon; null for no reason. */
private val RETURNING = listOf(null, Ineligibility.TRIED, Ineligibility.AT_LIMIT)

/**
 * Holds the endpoints that may serve an attempt.
 *
 * @property excluded how many endpoints may not, by reason.
 * @property retryAfterMs when an endpoint may be eligible again, in ms from now.
 */
internal class Eligibility(
    val endpoints: List<KnownEndpoint>,
    val excluded: Map<Ineligibility, Int>,
    val retryAfterMs: Long,
)

/**
 * Selects the endpoints that may serve an attempt. Confined to the event loop.
 *
 * @param versions says which versions are in force.
 * @param fleet returns this router's place among the listed routers, or null while their list has not been read.
 */
internal class EligibleEndpoints(
    private val settings: RelaySettings,
    private val routingState: RoutingState,
    private val states: EndpointStates,
    private val clock: Clocks,
    private val versions: VersionControl,
    private val fleet: () -> FleetPosition?,
) {
    /**
     * Returns the allowed endpoints for the next attempt of [call] among those that [inForce] accepts; leaves out
     * ejected ones and then cold ones as long as others remain.
     */
    fun forCall(call: RelayedCall, nowMs: Long, inForce: VersionFilter): Eligibility {
        val position = fleet()
        val reasons = HashMap<Ineligibility, Int>()
        val inPool = routingState.directory.inPool(call.pool.id)
        val allowed = inPool.filterNot { exclude(exclusion(call, it, position, nowMs, inForce), reasons) }
        val healthy = allowed.filterNot { states.of(it).health.isEjected(nowMs) }
        val usable = healthy.ifEmpty { allowed }
        val warm = usable.filter { it.coldUntilMs <= nowMs }
        val endpoints = warm.ifEmpty {
            usable.filterNot { known ->
                val cold = Ineligibility.COLD.takeUnless { allowsColdStart(call.pool, known, position, nowMs) }
                exclude(cold, reasons)
            }
        }
        val pausedMs = if (endpoints.isEmpty()) pausedRetryAfterMs(call, nowMs) else null
        return Eligibility(endpoints, reasons, pausedMs ?: retryAfterMs(inPool, reasons))
    }

    /**
     * Returns when a pause ends, in ms from now and spread a little, if all endpoints that could serve [call] when it
     * comes again are paused; null otherwise.
     */
    fun pausedRetryAfterMs(call: RelayedCall, nowMs: Long): Long? {
        val position = fleet()
        val inForce = versions.regular(call.pool.id, nowMs)
        val exclusions =
            routingState.directory.inPool(call.pool.id).groupBy { exclusion(call, it, position, nowMs, inForce) }
        if (RETURNING.any { it in exclusions }) return null
        val remainingMs = exclusions[Ineligibility.PAUSED]?.minOf { states.pauseRemainingMs(it, nowMs) }
        return remainingMs?.let { retryAfterPauseMs(it, ThreadLocalRandom.current().nextDouble()) }
    }

    /** Counts the start against the limits of the endpoint, and returns the endpoint's state. */
    fun recordStart(known: KnownEndpoint, nowMs: Long): EndpointState {
        val state = states.of(known)
        if (known.coldUntilMs > nowMs) state.coldStarts.onEvent(nowMs)
        state.limitedStarts.onStart(clock().wallClockMs)
        return state
    }

    private fun exclude(reason: Ineligibility?, reasons: MutableMap<Ineligibility, Int>): Boolean {
        if (reason != null) reasons.merge(reason, 1, Int::plus)
        return reason != null
    }

    private fun exclusion(
        call: RelayedCall,
        known: KnownEndpoint,
        position: FleetPosition?,
        nowMs: Long,
        inForce: VersionFilter,
    ): Ineligibility? {
        val endpoint = known.entry.endpoint
        return when {
            !known.entry.live || states.isLeaving(known) -> Ineligibility.LEAVING
            !inForce(known) -> Ineligibility.VERSION
            endpoint.dataCentre in routingState.evacuated -> Ineligibility.EVACUATED
            call.regions.isNotEmpty() && settings.regions[endpoint.dataCentre] !in call.regions ->
                Ineligibility.OUTSIDE_REGIONS
            states.pauseRemainingMs(known, nowMs) > 0 -> Ineligibility.PAUSED
            endpoint.id in call.triedEndpoints -> Ineligibility.TRIED
            isAtLimit(known, position) -> Ineligibility.AT_LIMIT
            else -> null
        }
    }

    private fun isAtLimit(known: KnownEndpoint, position: FleetPosition?): Boolean {
        val state = states.of(known)
        val rate = state.limit.requestsPerSecond ?: return false
        return position == null || !FleetRateLimit(rate).mayStart(position, state.limitedStarts, clock().wallClockMs)
    }

    private fun allowsColdStart(
        pool: RoutedPool,
        known: KnownEndpoint,
        position: FleetPosition?,
        nowMs: Long,
    ): Boolean {
        if (pool.coldStartRequestsPerSecond <= 0) return true
        val bounds = settings.bounds
        val limit = (pool.coldStartRequestsPerSecond * bounds.coldStartBurstFactor + bounds.coldStartSlack).toInt()
        val hasTurn = position?.let { ColdStartSchedule(limit).mayStart(it, clock().wallClockMs) } ?: false
        return hasTurn && states.of(known).coldStarts.allows(1, nowMs)
    }

    /** Endpoints that are at their limits take the next request of any router after the inverse of the rates' sum. */
    private fun retryAfterMs(inPool: List<KnownEndpoint>, reasons: Map<Ineligibility, Int>): Long {
        if (Ineligibility.AT_LIMIT !in reasons) return NO_ENDPOINT_RETRY_MS
        val requestsPerSecond = inPool.sumOf { states.of(it).limit.requestsPerSecond ?: 0.0 }
        return (MS_PER_SECOND / requestsPerSecond).toLong().coerceIn(MINIMUM_RETRY_MS, NO_ENDPOINT_RETRY_MS)
    }
}
