package corneltrack.router.relay

import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.limits.FleetPosition
import corneltrack.policy.placement.ServiceCandidate
import corneltrack.policy.placement.ServiceDecision
import corneltrack.policy.placement.holdsServiceRequest
import corneltrack.policy.placement.placeServiceRequest
import corneltrack.router.relay.rollout.AllVersions
import corneltrack.router.relay.rollout.TrialChance
import corneltrack.router.relay.rollout.VersionControl
import corneltrack.world.Endpoint
import java.util.concurrent.ThreadLocalRandom

/** After how long a held request is decided anew, in ms; a fraction of what most requests of plain services take. */
private const val HELD_RETRY_MS = 10L

/** Whether a connection to the endpoint is idle that was last used within the given time, in ms. */
internal typealias IdleConnections = (endpoint: Endpoint, nowMs: Long, maximumIdleMs: Long) -> Boolean

/**
 * Says what the choice of endpoints depends on beside their state.
 *
 * @property idle tells whether a request needs no new connection to an endpoint.
 * @property versions says which versions get the attempt.
 * @property fleet returns this router's place among the listed routers, or null while their list has not been read.
 */
internal data class EndpointSelection(
    val idle: IdleConnections = { _, _, _ -> false },
    val versions: VersionControl = AllVersions,
    val fleet: () -> FleetPosition? = { null },
)

/**
 * Chooses the endpoint of each attempt among those that may serve the request and are not ejected. Confined to the
 * event loop.
 */
internal class TargetChooser(
    private val settings: RelaySettings,
    routingState: RoutingState,
    load: FleetLoad,
    clock: Clocks,
    private val selection: EndpointSelection,
) {
    private val versions = selection.versions
    private val states = load.states
    private val endpoints = EligibleEndpoints(settings, routingState, states, clock, versions, selection.fleet)
    private val held = HeldCalls()
    private val engines = EngineChooser(settings, routingState, load, endpoints) { it.toTargetVersion() }

    /** Chooses an endpoint for an attempt of [call] and adds the request to the endpoint's load. */
    fun choose(call: RelayedCall, nowMs: Long): TargetDecision {
        val allowed = versions.forAttempt(call, nowMs).continuing(call.streamVersion)
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
        val candidates = eligible.map { it.candidate(call, nowMs) }
        if (held.update(call, mustWait(call, candidates, nowMs))) return TargetDecision.Held(HELD_RETRY_MS)
        val decision =
            placeServiceRequest(candidates, timeLeftMs, nowMs) { ThreadLocalRandom.current().nextDouble() }
        return when (decision) {
            is ServiceDecision.Refused -> TargetDecision.Refused("endpoints have long queues", decision.retryAfterMs)
            is ServiceDecision.Chosen -> {
                val chosen = known.getValue(decision.candidate.id)
                val state = endpoints.recordStart(chosen, nowMs)
                state.service.onSent()
                val expected = ExpectedCost(decision.responseTimeMs)
                if (decision.explored) state.pool.exploredRequests++
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

    /** Whether [call] waits until the endpoints have room; not for a retry, which has taken from the retry budget. */
    private fun mustWait(call: RelayedCall, candidates: List<ServiceCandidate>, nowMs: Long): Boolean {
        val routers = selection.fleet()?.routers ?: 1
        val waitedMs = call.times.earlierWaitMs + nowMs - call.times.arrivedMs
        return call.attempts == 0 && holdsServiceRequest(candidates, routers, waitedMs, call.route.objectiveMs, nowMs)
    }

    /** Forgets [call], which has ended while it was held. */
    fun onHeldEnded(call: RelayedCall) {
        held.update(call, wait = false)
    }

    private fun KnownEndpoint.candidate(call: RelayedCall, nowMs: Long): ServiceCandidate {
        val load = states.of(this).service
        return ServiceCandidate(
            id = entry.endpoint.id,
            load = load,
            concurrency = maxOf(1, entry.concurrency),
            networkDelayMs = settings.networkDelayMs(entry.endpoint),
            connected = load.paced.pace.known && selection.idle(entry.endpoint, nowMs, call.route.maximumIdleMs),
        )
    }
}
