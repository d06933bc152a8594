package corneltrack.router.relay

import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.limits.FleetPosition
import corneltrack.policy.placement.ServiceCandidate
import corneltrack.policy.placement.ServiceDecision
import corneltrack.policy.placement.placeServiceRequest
import corneltrack.router.relay.rollout.AllVersions
import corneltrack.router.relay.rollout.TrialChance
import corneltrack.router.relay.rollout.VersionControl

/**
 * Chooses the endpoint of each attempt among those that may serve the request and are not ejected. Confined to the
 * event loop.
 *
 * @param versions says which versions get the attempt.
 * @param fleet returns this router's place among the listed routers, or null while their list has not been read.
 */
internal class TargetChooser(
    private val settings: RelaySettings,
    routingState: RoutingState,
    load: FleetLoad,
    clock: Clocks,
    private val versions: VersionControl = AllVersions,
    fleet: () -> FleetPosition?,
) {
    private val states = load.states
    private val endpoints = EligibleEndpoints(settings, routingState, states, clock, versions, fleet)
    private val engines = EngineChooser(settings, routingState, load, endpoints) { it.toTargetVersion() }

    /** Chooses an endpoint for an attempt of [call] and adds the request to the endpoint's load. */
    fun choose(call: RelayedCall, nowMs: Long): TargetDecision {
        val allowed = versions.forAttempt(call, nowMs)
        val trial = allowed.trial?.let { chooseTrial(call, it, nowMs) }
        if (trial is TargetDecision.Chosen) return trial
        val regular = endpoints.forCall(call, nowMs, allowed.regular)
        val spare = allowed.spare?.takeIf { regular.endpoints.isEmpty() }?.let { endpoints.forCall(call, nowMs, it) }
        return place(call, spare?.takeIf { it.endpoints.isNotEmpty() } ?: regular, nowMs)
    }

    private fun chooseTrial(call: RelayedCall, trial: TrialChance, nowMs: Long): TargetDecision? =
        trial.take(endpoints.forCall(call, nowMs, trial.filter).endpoints)?.let {
            place(call, Eligibility(listOf(it), emptyMap(), retryAfterMs = 0), nowMs)
        }

    private fun place(call: RelayedCall, eligibility: Eligibility, nowMs: Long): TargetDecision {
        val eligible = eligibility.endpoints
        val generation = call.generation
        val profile = call.pool.engine
        return when {
            eligible.isEmpty() -> eligibility.refusal()
            generation != null && profile != null -> engines.choose(call, generation, profile, eligible, nowMs)
            else -> chooseService(call, eligible, nowMs)
        }
    }

    /** Returns when a pause ends, in ms from now, if [call] finds all endpoints paused; null otherwise. */
    fun pausedRetryAfterMs(call: RelayedCall, nowMs: Long): Long? = endpoints.pausedRetryAfterMs(call, nowMs)

    private fun Eligibility.refusal(): TargetDecision.Refused {
        val reasons = excluded.entries.joinToString("") { (reason, count) -> ", ${reason.name.lowercase()} $count" }
        return TargetDecision.Refused("no endpoint$reasons", retryAfterMs)
    }

    private fun chooseService(call: RelayedCall, eligible: List<KnownEndpoint>, nowMs: Long): TargetDecision {
        val known = eligible.associateBy { it.entry.endpoint.id }
        val timeLeftMs = (call.times.responseDeadlineMs - nowMs).toDouble()
        return when (val decision = placeServiceRequest(eligible.map { it.candidate() }, timeLeftMs, nowMs)) {
            is ServiceDecision.Refused -> TargetDecision.Refused("endpoints have long queues", decision.retryAfterMs)
            is ServiceDecision.Chosen -> {
                val chosen = known.getValue(decision.candidate.id)
                val state = endpoints.recordStart(chosen, nowMs)
                state.service.onSent()
                val expected = ExpectedCost(decision.responseTimeMs)
                TargetDecision.Chosen(
                    Target(
                        chosen.entry.endpoint,
                        state,
                        null,
                        decision.candidate.networkDelayMs,
                        expected,
                        version = chosen.toTargetVersion(),
                    ),
                )
            }
        }
    }

    private fun KnownEndpoint.toTargetVersion() = TargetVersion(entry.version, versions.pace(this))

    private fun KnownEndpoint.candidate() = ServiceCandidate(
        id = entry.endpoint.id,
        load = states.of(this).service,
        concurrency = maxOf(1, entry.concurrency),
        networkDelayMs = settings.networkDelayMs(entry.endpoint),
    )
}
