package corneltrack.router.relay

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.placement.EngineCandidate
import corneltrack.policy.placement.Generation
import corneltrack.policy.placement.PlacementDecision
import corneltrack.policy.placement.PlacementRequest
import corneltrack.policy.placement.PrefixCaching
import corneltrack.policy.placement.SizeClassAssignment
import corneltrack.policy.placement.admissionLimits
import corneltrack.policy.placement.placeGeneration
import corneltrack.policy.placement.ranked
import corneltrack.policy.placement.retentionMs
import corneltrack.world.EndpointId
import corneltrack.world.PoolId
import corneltrack.world.routing.EngineProfile

/** The cost of the bytes of one request and its response between regions, expressed as engine time. */
private const val OTHER_REGION_PENALTY_MS = 60.0

/** Per size class; keeps shorter prompts off the engines of longer ones unless their own have long queues. */
private const val SIZE_CLASS_PENALTY_MS = 150.0

/** Several prompts of this length in a row lengthen the pauses of other streams on the same engine. */
private const val MEDIUM_PROMPT_TOKENS = 14_000

/** A single prompt of this length lengthens the pauses of other streams on the same engine. */
private const val LONG_PROMPT_TOKENS = 24_000

/**
 * Chooses the engine of an attempt among the eligible ones. Confined to the event loop.
 *
 * @param versionOf returns the version of a chosen engine.
 */
internal class EngineChooser(
    private val settings: RelaySettings,
    private val routingState: RoutingState,
    private val load: FleetLoad,
    private val endpoints: EligibleEndpoints,
    private val versionOf: (KnownEndpoint) -> TargetVersion,
) {
    private val shares = load.shares
    private val sizeClasses = SizeClassAssignment(listOf(MEDIUM_PROMPT_TOKENS, LONG_PROMPT_TOKENS))

    /** Chooses one of the [eligible] engines for [generation] and adds the request to its load. */
    fun choose(
        call: RelayedCall,
        generation: Generation,
        profile: EngineProfile,
        eligible: List<KnownEndpoint>,
        nowMs: Long,
    ): TargetDecision {
        if (call.attempts == 0) sizeClasses.onRequest(generation, nowMs)
        val known = eligible.associateBy { it.entry.endpoint.id }
        val caching = prefixCaching(call, profile)
        val classesAbove = sizeClasses.eligibleEngines(generation, known.keys)
        val sources = eligible.map { it.candidate(profile, classesAbove[it.entry.endpoint.id] ?: 0) }
        val candidates = sources.filter { it.id in classesAbove }
        val request = placementRequest(call, generation, nowMs)
        return when (val decision = placeGeneration(request, candidates, caching, nowMs, sources)) {
            is PlacementDecision.Refused -> {
                val reason = "${decision.reason.name.lowercase()}, wait ${decision.expectedWaitMs.toLong()} ms"
                TargetDecision.Refused(reason, decision.retryAfterMs)
            }
            is PlacementDecision.Chosen ->
                TargetDecision.Chosen(decision.toTarget(generation, known, caching, nowMs))
        }
    }

    private fun placementRequest(call: RelayedCall, generation: Generation, nowMs: Long): PlacementRequest {
        val timeLeftMs = (call.times.responseDeadlineMs - nowMs).toDouble()
        if (call.responseStarted) return PlacementRequest(generation, timeLeftMs, timeLeftMs, timeLeftMs)
        val elapsedMs = call.times.earlierWaitMs + nowMs - call.times.arrivedMs
        val fairShareRatio = call.workspace?.let { shares.fairShareRatio(it, nowMs) } ?: 0.0
        val contended = shares.view(nowMs).contended
        val unranked = admissionLimits(call.route.objectiveMs, elapsedMs, fairShareRatio)
        val limits = if (contended) unranked.ranked(call.priority, rankedPriorities(call.pool.id)) else unranked
        call.fairShareRatio = fairShareRatio.takeIf { contended }
        val missWeight = if (contended) limits.missWeight else 1.0
        val pauseLimitMs = call.route.pauseLimitMs.toDouble()
        return PlacementRequest(
            generation,
            limits.waitLimitMs,
            limits.queueLimitMs,
            timeLeftMs,
            pauseLimitMs,
            missWeight,
        )
    }

    /** Returns the priorities that compete for the engines of [pool]; none where the deployment does not ask for it. */
    private fun rankedPriorities(pool: PoolId): Set<Int> =
        if (settings.features.contention) routingState.table?.streamPriorities(pool).orEmpty() else emptySet()

    private fun prefixCaching(call: RelayedCall, profile: EngineProfile): PrefixCaching {
        val tokensPerSecond = routingState.table?.tokensPerSecond ?: 0.0
        val engines = routingState.directory.inPool(call.pool.id).size
        val retentionMs = retentionMs(profile.kvCacheTokens, tokensPerSecond / engines)
        return PrefixCaching(retentionMs, profile.transferMsPerToken, load.transfers.rate)
    }

    private fun PlacementDecision.Chosen.toTarget(
        generation: Generation,
        known: Map<EndpointId, KnownEndpoint>,
        caching: PrefixCaching,
        nowMs: Long,
    ): Target {
        val engine = known.getValue(candidate.id)
        val state = endpoints.recordStart(engine, nowMs)
        val engineRequest = state.engine.onSent(generation, prefillTokens, nowMs)
        state.prefixes.onSent(generation.segments, nowMs, caching.retentionMs)
        val source = transfer?.let { PrefixSource(known.getValue(it.source.id).entry.endpoint, it) }
        val expected = ExpectedCost(expectedWaitMs, prefillTokens, missedTokens)
        val version = versionOf(engine)
        return Target(engine.entry.endpoint, state, engineRequest, candidate.networkDelayMs, expected, source, version)
    }

    private fun KnownEndpoint.candidate(profile: EngineProfile, classesAbove: Int): EngineCandidate {
        val endpoint = entry.endpoint
        val state = load.states.of(this)
        val regionPenaltyMs = if (settings.isInRegion(endpoint)) 0.0 else OTHER_REGION_PENALTY_MS
        return EngineCandidate(
            id = endpoint.id,
            load = state.engine,
            prefixCache = state.prefixes,
            batchSlots = if (entry.concurrency > 0) entry.concurrency else profile.batchSlots,
            kvCacheTokens = profile.kvCacheTokens,
            networkDelayMs = settings.networkDelayMs(endpoint),
            dataCentre = endpoint.dataCentre,
            penaltyMs = SIZE_CLASS_PENALTY_MS * classesAbove + regionPenaltyMs,
        )
    }
}
