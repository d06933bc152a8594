package corneltrack.router.relay

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.limits.ColdStartSchedule
import corneltrack.policy.placement.EngineCandidate
import corneltrack.policy.placement.EngineRequest
import corneltrack.policy.placement.Generation
import corneltrack.policy.placement.PlacementDecision
import corneltrack.policy.placement.PlacementRequest
import corneltrack.policy.placement.PrefixCacheEstimate
import corneltrack.policy.placement.PrefixCaching
import corneltrack.policy.placement.ServiceCandidate
import corneltrack.policy.placement.ServiceDecision
import corneltrack.policy.placement.SizeClassAssignment
import corneltrack.policy.placement.admissionLimits
import corneltrack.policy.placement.placeGeneration
import corneltrack.policy.placement.placeServiceRequest
import corneltrack.world.Endpoint
import corneltrack.world.routing.EngineProfile
import corneltrack.world.routing.RoutedPool

private const val SAME_DATA_CENTRE_LATENCY_MS = 1.0
private const val SAME_REGION_LATENCY_MS = 5.0

/** Two round trips at 30 ms each way: one to connect, one for the response. */
private const val OTHER_REGION_LATENCY_MS = 125.0

/** The cost of the bytes of one response between regions, expressed as engine time. */
private const val OTHER_REGION_PENALTY_MS = 5.0

/** Per size class; keeps shorter prompts off the engines of longer ones unless their own have long queues. */
private const val SIZE_CLASS_PENALTY_MS = 150.0

/** Several prompts of this length in a row lengthen the pauses of other streams on the same engine. */
private const val MEDIUM_PROMPT_TOKENS = 14_000

/** A single prompt of this length lengthens the pauses of other streams on the same engine. */
private const val LONG_PROMPT_TOKENS = 24_000

/** The share of an engine's KV cache that running requests leave to cached prefixes. */
private const val PREFIX_CACHE_SHARE = 0.5

/** The share of an engine's tokens that go through prefill, as opposed to decoded or cached tokens. */
private const val PREFILL_SHARE = 0.6
private const val MS_PER_SECOND = 1_000.0
private const val MINIMUM_RETENTION_MS = 3_000L
private const val MAXIMUM_RETENTION_MS = 60_000L
private const val DEFAULT_RETENTION_MS = 15_000L
private const val NO_ENDPOINT_RETRY_MS = 1_000L

/**
 * Holds the expected cost of one attempt.
 *
 * @property waitMs the time to the first event or to the complete response, in ms.
 * @property prefillTokens the prompt tokens that the engine has to process.
 * @property missedTokens the tokens among them that belong to shared prefixes.
 */
internal data class ExpectedCost(val waitMs: Double, val prefillTokens: Int = 0, val missedTokens: Int = 0)

/**
 * Holds the engine from which the target is asked to copy a cached prefix of the prompt.
 *
 * @property prefixes the router's estimate of the prefixes that the source has cached.
 * @property tokens the tokens that the target need not process if the copy arrives.
 */
internal class PrefixSource(val endpoint: Endpoint, val prefixes: PrefixCacheEstimate, val tokens: Int)

/**
 * Holds the endpoint chosen for one attempt and the load that was added to its state.
 *
 * @property engineRequest the request as counted in the engine's load, or null where the endpoint is not an engine.
 * @property networkDelayMs the part of the time to the first event that the network takes, in ms.
 * @property prefixSource where the engine may copy the start of the prompt from, or null if it processes all of it.
 */
internal class Target(
    val endpoint: Endpoint,
    val state: EndpointState,
    val engineRequest: EngineRequest?,
    val networkDelayMs: Double,
    val expected: ExpectedCost,
    val prefixSource: PrefixSource? = null,
)

/** Describes the choice of an endpoint for an attempt. */
internal sealed interface TargetDecision {
    /** The attempt is sent to [target]. */
    data class Chosen(val target: Target) : TargetDecision

    /**
     * No endpoint can serve the request in time.
     *
     * @property retryAfterMs when the caller may try again, in ms from now.
     */
    data class Refused(val reason: String, val retryAfterMs: Long) : TargetDecision
}

/**
 * Chooses the endpoint of each attempt among those that may serve the request and are not ejected. Confined to the
 * event loop.
 *
 * @param isColdStartTurn whether it is this router's turn to start requests at cold endpoints.
 */
internal class TargetChooser(
    private val settings: RelaySettings,
    private val routingState: RoutingState,
    load: FleetLoad,
    private val isColdStartTurn: (ColdStartSchedule) -> Boolean,
) {
    private val states = load.states
    private val shares = load.shares
    private val transfers = load.transfers
    private val sizeClasses = SizeClassAssignment(listOf(MEDIUM_PROMPT_TOKENS, LONG_PROMPT_TOKENS))

    /** Chooses an endpoint for an attempt of [call] and adds the request to the endpoint's load. */
    fun choose(call: RelayedCall, nowMs: Long): TargetDecision {
        val eligible = eligibleEndpoints(call, nowMs)
        if (eligible.isEmpty()) return TargetDecision.Refused("no endpoint", NO_ENDPOINT_RETRY_MS)
        val generation = call.generation
        val engine = call.pool.engine
        if (generation != null && call.attempts == 0) sizeClasses.onRequest(generation, nowMs)
        return if (generation != null && engine != null) {
            placeAtEngine(call, generation, engine, eligible, nowMs)
        } else {
            placeAtService(call, eligible, nowMs)
        }
    }

    /** Returns the allowed endpoints; leaves out ejected ones and then cold ones as long as others remain. */
    private fun eligibleEndpoints(call: RelayedCall, nowMs: Long): List<KnownEndpoint> {
        val allowed = routingState.directory.inPool(call.pool.id).filter { known ->
            val endpoint = known.entry.endpoint
            known.entry.live &&
                endpoint.id !in call.triedEndpoints &&
                endpoint.dataCentre !in routingState.evacuated &&
                (call.regions.isEmpty() || settings.regions[endpoint.dataCentre] in call.regions)
        }
        val healthy = allowed.filterNot { states.of(it).health.isEjected(nowMs) }
        val usable = healthy.ifEmpty { allowed }
        val warm = usable.filter { it.coldUntilMs <= nowMs }
        return warm.ifEmpty { usable.filter { allowsColdStart(call.pool, it, nowMs) } }
    }

    private fun allowsColdStart(pool: RoutedPool, known: KnownEndpoint, nowMs: Long): Boolean {
        if (pool.coldStartRequestsPerSecond <= 0) return true
        val bounds = settings.bounds
        val limit = (pool.coldStartRequestsPerSecond * bounds.coldStartBurstFactor + bounds.coldStartSlack).toInt()
        return states.of(known).coldStarts.allows(1, nowMs) && isColdStartTurn(ColdStartSchedule(limit))
    }

    /** Counts the start against the cold-start limit if the endpoint is cold, and returns the endpoint's state. */
    private fun recordColdStart(known: KnownEndpoint, nowMs: Long): EndpointState {
        val state = states.of(known)
        if (known.coldUntilMs > nowMs) state.coldStarts.onEvent(nowMs)
        return state
    }

    private fun placeAtEngine(
        call: RelayedCall,
        generation: Generation,
        engine: EngineProfile,
        eligible: List<KnownEndpoint>,
        nowMs: Long,
    ): TargetDecision {
        val fairShareRatio = call.workspace?.let { shares.fairShareRatio(it, nowMs) } ?: 0.0
        val elapsedMs = call.times.earlierWaitMs + nowMs - call.times.arrivedMs
        val timeLeftMs = (call.times.responseDeadlineMs - nowMs).toDouble()
        val request = if (call.responseStarted) {
            PlacementRequest(generation, timeLeftMs, timeLeftMs, timeLeftMs)
        } else {
            val limits = admissionLimits(call.route.objectiveMs, elapsedMs, fairShareRatio)
            val pauseLimitMs = call.route.pauseLimitMs.toDouble()
            val missWeight = if (shares.isContended(nowMs)) limits.missWeight else 1.0
            PlacementRequest(generation, limits.waitLimitMs, limits.queueLimitMs, timeLeftMs, pauseLimitMs, missWeight)
        }
        val retentionMs = retentionMs(engine, routingState.directory.inPool(call.pool.id).size)
        val endpoints = eligible.associateBy { it.entry.endpoint.id }
        val classesAbove = sizeClasses.eligibleEngines(generation, endpoints.keys)
        val sources = eligible.map { known ->
            val penaltyMs = SIZE_CLASS_PENALTY_MS * (classesAbove[known.entry.endpoint.id] ?: 0)
            known.engineCandidate(engine, penaltyMs)
        }
        val candidates = sources.filter { it.id in classesAbove }
        val caching = PrefixCaching(retentionMs, engine.transferMsPerToken, transfers.rate)
        return when (val decision = placeGeneration(request, candidates, caching, nowMs, sources)) {
            is PlacementDecision.Refused -> {
                val reason = "${decision.reason.name.lowercase()}, wait ${decision.expectedWaitMs.toLong()} ms"
                TargetDecision.Refused(reason, decision.retryAfterMs)
            }
            is PlacementDecision.Chosen -> {
                val known = endpoints.getValue(decision.candidate.id)
                val state = recordColdStart(known, nowMs)
                val engineRequest = state.engine.onSent(generation, decision.prefillTokens, nowMs)
                state.prefixes.onSent(generation.segments, nowMs, retentionMs)
                val expected =
                    ExpectedCost(decision.expectedWaitMs, decision.prefillTokens, decision.missedTokens)
                val source = decision.transfer?.let { transfer ->
                    val endpoint = endpoints.getValue(transfer.source.id)
                    PrefixSource(endpoint.entry.endpoint, states.of(endpoint).prefixes, transfer.tokens)
                }
                TargetDecision.Chosen(
                    Target(
                        known.entry.endpoint,
                        state,
                        engineRequest,
                        decision.candidate.networkDelayMs,
                        expected,
                        source,
                    ),
                )
            }
        }
    }

    private fun placeAtService(call: RelayedCall, eligible: List<KnownEndpoint>, nowMs: Long): TargetDecision {
        val endpoints = eligible.associateBy { it.entry.endpoint.id }
        val candidates = eligible.map {
            ServiceCandidate(it.entry.endpoint.id, states.of(it).service, maxOf(1, it.entry.concurrency), it.delayMs)
        }
        val timeLeftMs = (call.times.responseDeadlineMs - nowMs).toDouble()
        return when (val decision = placeServiceRequest(candidates, timeLeftMs, nowMs)) {
            is ServiceDecision.Refused -> TargetDecision.Refused("endpoints have long queues", decision.retryAfterMs)
            is ServiceDecision.Chosen -> {
                val known = endpoints.getValue(decision.candidate.id)
                val state = recordColdStart(known, nowMs)
                state.service.onSent()
                val networkDelayMs = decision.candidate.networkDelayMs
                TargetDecision.Chosen(
                    Target(known.entry.endpoint, state, null, networkDelayMs, ExpectedCost(decision.responseTimeMs)),
                )
            }
        }
    }

    private fun KnownEndpoint.engineCandidate(engine: EngineProfile, sizeClassPenaltyMs: Double): EngineCandidate {
        val state = states.of(this)
        val otherRegion = settings.regions[entry.endpoint.dataCentre] != settings.region
        return EngineCandidate(
            id = entry.endpoint.id,
            load = state.engine,
            prefixCache = state.prefixes,
            batchSlots = if (entry.concurrency > 0) entry.concurrency else engine.batchSlots,
            kvCacheTokens = engine.kvCacheTokens,
            networkDelayMs = delayMs,
            dataCentre = entry.endpoint.dataCentre,
            penaltyMs = sizeClassPenaltyMs + if (otherRegion) OTHER_REGION_PENALTY_MS else 0.0,
        )
    }

    private val KnownEndpoint.delayMs: Double
        get() = when {
            entry.endpoint.dataCentre == settings.dataCentre -> SAME_DATA_CENTRE_LATENCY_MS
            settings.regions[entry.endpoint.dataCentre] == settings.region -> SAME_REGION_LATENCY_MS
            else -> OTHER_REGION_LATENCY_MS
        }

    /** Estimates how long an engine keeps an unused prefix in its cache at the table's token rate, in ms. */
    private fun retentionMs(engine: EngineProfile, engines: Int): Long {
        val tokensPerSecond = routingState.table?.tokensPerSecond ?: 0.0
        if (tokensPerSecond <= 0 || engine.kvCacheTokens <= 0) return DEFAULT_RETENTION_MS
        val prefillPerSecond = PREFILL_SHARE * tokensPerSecond / engines
        val seconds = PREFIX_CACHE_SHARE * engine.kvCacheTokens / prefillPerSecond
        return (seconds * MS_PER_SECOND).toLong().coerceIn(MINIMUM_RETENTION_MS, MAXIMUM_RETENTION_MS)
    }
}
