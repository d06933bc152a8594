package corneltrack.policy.placement

import corneltrack.world.InstanceId
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

private const val OBJECTIVE_MS = 1_000L
private const val DEADLINE_MS = 6_000.0
private const val NETWORK_MS = 1.0
private const val DIGEST_PERIOD_MS = 200.0
private const val DECODE_MS = 2_000.0
private const val OUTPUT_TOKENS = 120
private const val PAUSE_MS = 2_000.0

/**
 * Describes a load of prompts with long shared prefixes on a fleet of engines.
 *
 * @property prefixes the number of shared prefixes, all equally popular.
 * @property requestsPerSecond the requests of all callers together.
 * @property tokensPerMs how many prompt tokens an engine processes in one ms.
 * @property transferMsPerToken the time to copy a token's KV cache, in ms; null if engines cannot copy.
 * @property sharesPrefixes whether routers tell each other which engine has which prefix.
 * @property copyFails whether copies never arrive, whatever routers believe.
 * @property enginesLosingCaches how many engines lose their caches half way through, unnoticed by the routers.
 * @property cutRouters how many routers neither send nor receive digests.
 * @property pausedRouters how many routers send no digest and take no request for two seconds half way through, after
 *   which they decide on beliefs of that age.
 */
internal data class FleetLoadPlan(
    val engines: Int = 13,
    val routers: Int = 8,
    val prefixes: Int = 141,
    val sharedTokens: Int = 13_300,
    val ownTokens: Int = 3_720,
    val requestsPerSecond: Double = 60.0,
    val seconds: Int = 30,
    val tokensPerMs: Double = 48.0,
    val cacheTokens: Int = 300_000,
    val transferMsPerToken: Double? = 0.0002,
    val sharesPrefixes: Boolean = true,
    val copyFails: Boolean = false,
    val enginesLosingCaches: Int = 0,
    val cutRouters: Int = 0,
    val pausedRouters: Int = 0,
    val seed: Int = 1,
)

/** What the callers of a played load got. */
internal data class FleetOutcome(val asked: Int, val inTime: Int, val readTokens: Long, val readAgainTokens: Long) {
    val inTimeShare: Double get() = inTime.toDouble() / asked
    val readAgainShare: Double get() = readAgainTokens.toDouble() / readTokens
}

/**
 * Plays a load against engines in virtual time: each prefills in order of arrival, evicts the least recently used
 * prefix, and copies a prefix only if the source still has it. Routers see first events and digests alone.
 */
internal class EngineFleetModel(private val plan: FleetLoadPlan) {
    private class Event(val atMs: Double, val action: () -> Unit)

    /** An engine: what it has cached, by hash and in order of use, and until when it is busy. */
    private inner class Engine {
        val cached = LinkedHashMap<Long, Int>()
        var busyUntilMs = 0.0

        fun use(segment: PromptSegment) {
            cached.remove(segment.prefixHash)
            cached[segment.prefixHash] = segment.tokens
            while (cached.values.sum() > plan.cacheTokens) cached.remove(cached.keys.first())
        }

        /** Returns the tokens that remain to be processed after a copy from [source]. */
        fun unread(generation: Generation, source: Engine?): Int {
            val kept = generation.segments.filter { it.prefixHash in cached }.sumOf { it.tokens }
            val copied = generation.segments
                .filter { it.prefixHash !in cached && source?.cached?.contains(it.prefixHash) == true }
                .sumOf { it.tokens }
            return generation.promptTokens - kept - (if (plan.copyFails) 0 else copied)
        }
    }

    /** A router with its view of each engine. */
    private inner class Router(val index: Int) {
        val cut = index < plan.cutRouters

        fun isPaused() = index < plan.pausedRouters && nowMs in halfMs..halfMs + PAUSE_MS

        val views = List(plan.engines) { engine("engine-$it") }
        val reports = List(plan.engines) { PrefixReports() }
        val success = TransferSuccess()
    }

    private val halfMs = plan.seconds * 500.0
    private val random = Random(plan.seed)
    private val events = PriorityQueue<Event>(compareBy { it.atMs })
    private val engines = List(plan.engines) { Engine() }
    private val routers = List(plan.routers) { Router(it) }
    private val everRead = HashSet<Long>()
    private var nowMs = 0.0
    private var asked = 0
    private var inTime = 0
    private var readTokens = 0L
    private var readAgainTokens = 0L

    fun play(): FleetOutcome {
        var arrivalMs = 0.0
        while (arrivalMs < plan.seconds * 1_000) {
            arrivalMs += -ln(1 - random.nextDouble()) * 1_000 / plan.requestsPerSecond
            at(arrivalMs) { arrive(routers.filterNot { it.isPaused() }.random(random)) }
        }
        var digestMs = DIGEST_PERIOD_MS
        while (digestMs < plan.seconds * 1_000) {
            at(digestMs) { routers.filterNot { it.isPaused() }.forEach(::sendDigest) }
            digestMs += DIGEST_PERIOD_MS
        }
        at(halfMs) { engines.take(plan.enginesLosingCaches).forEach { it.cached.clear() } }
        while (events.isNotEmpty()) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
        return FleetOutcome(asked, inTime, readTokens, readAgainTokens)
    }

    private fun at(atMs: Double, action: () -> Unit) = events.add(Event(atMs, action))

    private fun arrive(router: Router) {
        asked++
        val own = (plan.ownTokens * exp(random.nextDouble(-1.0, 0.6))).toInt()
        val prefix = random.nextLong(plan.prefixes.toLong())
        val segments = promptSegments(listOf(prefix, random.nextLong()), listOf(plan.sharedTokens, own))
        val generation = Generation(segments, plan.sharedTokens + own, OUTPUT_TOKENS)
        val limits = admissionLimits(OBJECTIVE_MS, 0, fairShareRatio = 0.9)
        val request = PlacementRequest(generation, limits.waitLimitMs, limits.queueLimitMs, DEADLINE_MS)
        val caching = PrefixCaching(retentionMs(), plan.transferMsPerToken, router.success.rate)
        val decision = placeGeneration(request, router.views, caching, nowMs.toLong())
        if (decision is PlacementDecision.Chosen) serve(router, generation, decision)
    }

    private fun serve(router: Router, generation: Generation, decision: PlacementDecision.Chosen) {
        val index = router.views.indexOf(decision.candidate)
        val view = router.views[index]
        val sentMs = nowMs
        val sent = view.load.onSent(generation, decision.prefillTokens, sentMs.toLong())
        view.prefixCache.onSent(generation.segments, sentMs.toLong(), retentionMs())
        val source = decision.transfer?.let { engines[router.views.indexOf(it.source)] }
        val firstEventMs = process(engines[index], generation, source)
        at(firstEventMs) {
            if (firstEventMs - sentMs <= OBJECTIVE_MS) inTime++
            val lateMs = firstEventMs - sentMs - decision.expectedWaitMs
            decision.transfer?.let { router.success.onFirstEvent(it, generation, view.load, lateMs) }
            view.load.onFirstEvent(sent, firstEventMs - sentMs - NETWORK_MS)
            val news = view.prefixCache.onConfirmed(generation.sharedPrefixes, nowMs.toLong())
            router.reports[index].add(news, nowMs.toLong())
        }
        at(firstEventMs + DECODE_MS) { view.load.onEnd(sent) }
    }

    /** Lets [engine] process the prompt after those before it; returns the time of the first event. */
    private fun process(engine: Engine, generation: Generation, source: Engine?): Double {
        val unread = engine.unread(generation, source)
        readTokens += unread
        val shared = generation.segments.first()
        val sharedUnread = (unread - generation.segments.last().tokens).coerceAtLeast(0)
        if (!everRead.add(shared.prefixHash)) readAgainTokens += sharedUnread
        generation.segments.forEach(engine::use)
        engine.busyUntilMs = maxOf(nowMs, engine.busyUntilMs) + unread / plan.tokensPerMs
        return engine.busyUntilMs + FIRST_EVENT_OVERHEAD_MS + NETWORK_MS
    }

    private fun sendDigest(sender: Router) {
        val sinceMs = (nowMs - 2 * DIGEST_PERIOD_MS).toLong()
        sender.views.forEachIndexed { index, view ->
            val prefixes = if (plan.sharesPrefixes) sender.reports[index].since(sinceMs) else emptyList()
            routers.filter { it !== sender && !it.cut && !sender.cut && !it.isPaused() }.forEach { receiver ->
                val known = receiver.views[index]
                known.load.onPeer(InstanceId("router-${sender.index}"), view.load.ownLoad, nowMs.toLong())
                known.prefixCache.onConfirmed(prefixes, nowMs.toLong())
            }
        }
    }

    private fun retentionMs(): Long =
        retentionMs(plan.cacheTokens.toLong(), plan.requestsPerSecond * plan.ownTokens / plan.engines * 2)
}
