package corneltrack.policy.placement

import corneltrack.policy.limits.SlidingWindowRetryBudget
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import java.util.PriorityQueue
import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sin
import kotlin.random.Random
import kotlin.random.asJavaRandom

private const val DEADLINE_MS = 1_500L
private const val OBJECTIVE_MS = 343L
private const val NETWORK_MS = 1L
private const val WAVE_MS = 17_000.0
private const val WAVE_AMPLITUDE = 0.55
private const val BURST_EVERY_MS = 7_000L
private const val BURST_MS = 500L
private const val REGION_ROUTERS = 21
private const val RETRY_RATIO = 0.2
private const val RETRY_WINDOW_MS = 10_000L
private const val HELD_POLL_MS = 10L
private const val MAXIMUM_ATTEMPTS = 2
private const val MS_PER_SECOND = 1_000.0
private const val ARRIVAL_SEED = 1_000
private const val PACE_SEED = 2_000

/** The idle time up to which a connection is used again for requests that must not run twice, in ms. */
private const val REUSED_IDLE_MS = 500L

/** How a router of the model holds requests: never, at its share of all places, or as [holdsServiceRequest] says. */
internal enum class HoldRule { NEVER, OWN_PLACES, WHEN_FULL }

/** Describes how a router of the model chooses and what it knows. */
internal data class ServiceStrategy(
    val name: String,
    val choice: ServiceChoice,
    val paceBelief: Boolean = true,
    val digests: Boolean = true,
    val hold: HoldRule = HoldRule.NEVER,
)

/**
 * Describes a pool and what its callers request.
 *
 * @property burstFactor how many times the usual requests come in bursts of half a second.
 * @property slowFactor how many times as long work takes while an endpoint is slow.
 * @property slowFraction the part of the time that an endpoint is slow, in spells of 600 ms on average.
 * @property digestLoss the part of the digests that is lost.
 */
internal data class ServiceFleetPlan(
    val routers: Int = 63,
    val endpoints: Int = 6,
    val slots: Int = 6,
    val queue: Int = 24,
    val requestsPerSecond: Double = 121.0,
    val workMs: Double = 42.9,
    val workSpread: Double = 0.5,
    val slowFactor: Double = 2.5,
    val slowFraction: Double = 0.15,
    val slowSpellMs: Double = 600.0,
    val burstFactor: Double = 4.0,
    val digestMs: Long = 400,
    val digestLoss: Double = 0.0,
    val durationMs: Long = 60_000,
    val seed: Int = 1,
)

/** Counts the outcomes of the requests of one run; [shed] counts attempts, the others requests. */
internal data class ServiceOutcomes(
    var requests: Int = 0,
    var inTime: Int = 0,
    var late: Int = 0,
    var shed: Int = 0,
    var refused: Int = 0,
    var waitedAtRouter: Int = 0,
    var connectionsOpened: Int = 0,
) {
    /** The requests that were not served within the objective. */
    val missed get() = requests - inTime

    operator fun plus(other: ServiceOutcomes) = ServiceOutcomes(
        requests + other.requests,
        inTime + other.inTime,
        late + other.late,
        shed + other.shed,
        refused + other.refused,
        waitedAtRouter + other.waitedAtRouter,
        connectionsOpened + other.connectionsOpened,
    )
}

/** Plays many routers that send the requests of a plain service to few endpoints, in virtual time. */
internal class ServiceFleetModel(private val plan: ServiceFleetPlan, private val strategy: ServiceStrategy) {
    private class Event(val atMs: Long, val number: Long, val action: () -> Unit)

    private class Request(val arrivedMs: Long, val workMs: Double) {
        var attempts = 0
        val tried = HashSet<Int>()
    }

    private inner class ModelEndpoint(val index: Int) {
        private val waiting = ArrayDeque<() -> Unit>()
        private var running = 0
        var pace = 1.0
        val active get() = running + waiting.size

        fun start() = startSpell(slow = paceRandom[index].nextDouble() < plan.slowFraction)

        private fun startSpell(slow: Boolean) {
            pace = if (slow) plan.slowFactor else 1.0
            val usualMs = plan.slowSpellMs * (1 - plan.slowFraction) / plan.slowFraction
            val lastsMs = -ln(1 - paceRandom[index].nextDouble()) * if (slow) plan.slowSpellMs else usualMs
            after(lastsMs.toLong() + 1) { startSpell(!slow) }
        }

        /** Runs [work] ms of work and calls [onEnd]; returns false if the endpoint is full. */
        fun submit(work: Double, onEnd: () -> Unit): Boolean {
            val run = {
                running++
                after((work * pace).toLong() + 1) {
                    running--
                    onEnd()
                    waiting.removeFirstOrNull()?.invoke()
                }
            }
            val accepted = running < plan.slots || waiting.size < plan.queue
            if (running < plan.slots) run() else if (accepted) waiting.addLast(run)
            return accepted
        }
    }

    private inner class ModelRouter(val index: Int) {
        val id = InstanceId("router-$index")
        private val pool = PoolReports()
        val loads = List(plan.endpoints) { ServiceLoad(pool) }
        private val idleSince = List(plan.endpoints) { ArrayDeque<Long>() }
        private val retries = SlidingWindowRetryBudget(RETRY_RATIO, RETRY_WINDOW_MS)
        private val held = ArrayDeque<Request>()
        private var inFlight = 0

        fun onRequest(request: Request) {
            retries.onRequest(nowMs)
            if (strategy.hold == HoldRule.OWN_PLACES && inFlight >= ownPlaces) {
                outcomes.waitedAtRouter++
                held.addLast(request)
            } else {
                placeOrHold(request)
            }
        }

        private fun placeOrHold(request: Request) {
            val waitedMs = nowMs - request.arrivedMs
            val candidates = loads.indices.map { candidate(it) }
            val held = strategy.hold == HoldRule.WHEN_FULL &&
                holdsServiceRequest(candidates, plan.routers, waitedMs, OBJECTIVE_MS, nowMs)
            if (held && waitedMs == 0L) outcomes.waitedAtRouter++
            if (held) after(HELD_POLL_MS) { placeOrHold(request) } else place(request)
        }

        private fun place(request: Request) {
            val limitMs = (request.arrivedMs + DEADLINE_MS - nowMs).toDouble()
            val candidates = loads.indices.filter { it !in request.tried }.map { candidate(it) }
            when (val decision = placeServiceRequest(candidates, limitMs, nowMs, strategy.choice, random::nextDouble)) {
                is ServiceDecision.Refused -> outcomes.refused++
                is ServiceDecision.Chosen -> send(request, decision.candidate.id.value.toInt())
            }
        }

        private fun candidate(index: Int) = ServiceCandidate(
            EndpointId("$index"),
            loads[index],
            plan.slots,
            NETWORK_MS.toDouble(),
            idleSince[index].any { nowMs - it < REUSED_IDLE_MS },
        )

        private fun send(request: Request, index: Int) {
            val endpoint = endpoints[index]
            val load = loads[index]
            request.attempts++
            load.onSent()
            inFlight++
            if (nowMs - (idleSince[index].removeLastOrNull() ?: Long.MIN_VALUE / 2) >= REUSED_IDLE_MS) {
                idleSince[index].clear()
                outcomes.connectionsOpened++
            }
            val sentMs = nowMs
            val accepted = endpoint.submit(request.workMs) {
                onEnd(index)
                load.onResponse(nowMs - sentMs)
                load.paced.onResponse(nowMs - sentMs)
                val elapsedMs = nowMs + NETWORK_MS - request.arrivedMs
                if (elapsedMs <= OBJECTIVE_MS) outcomes.inTime++ else outcomes.late++
            }
            if (!accepted) onShed(request, index)
        }

        private fun onShed(request: Request, index: Int) {
            onEnd(index)
            outcomes.shed++
            request.tried += index
            val mayRetry = request.attempts < MAXIMUM_ATTEMPTS && retries.tryRetry(nowMs)
            if (mayRetry) place(request) else outcomes.refused++
        }

        private fun onEnd(index: Int) {
            val endpoint = endpoints[index]
            val load = loads[index]
            load.onReport(endpoint.active, nowMs)
            val pace = if (strategy.paceBelief) endpoint.pace else 1.0
            val report = PaceReport(endpoint.active, pace, nowMs, plan.slots)
            val informed = strategy.choice !== TODAY
            if (informed) load.paced.onOwnReport(report, load.running)
            load.onEnd()
            inFlight--
            idleSince[index].addLast(nowMs)
            held.removeFirstOrNull()?.let(::place)
        }

        fun hear(peer: ModelRouter) = loads.indices.forEach { index ->
            val paced = peer.loads[index].paced
            val report = paced.ownReport ?: return@forEach
            if (nowMs - report.observedMs > MAXIMUM_REPORT_AGE_MS) return@forEach
            val load = loads[index]
            load.paced.onPeer(peer.id, report, paced.ownServiceTime, load.running)
        }
    }

    /** Separate streams, so that strategies are compared with the same requests and the same slow spells. */
    private val random = Random(plan.seed)
    private val arrivalRandom = Random(plan.seed + ARRIVAL_SEED)
    private val paceRandom = List(plan.endpoints) { Random(plan.seed + PACE_SEED + it) }
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.number })
    private var eventNumber = 0L
    private var nowMs = 0L
    private var arrivalMs = 0.0
    private val outcomes = ServiceOutcomes()
    private val endpoints = List(plan.endpoints) { ModelEndpoint(it) }
    private val routers = List(plan.routers) { ModelRouter(it) }

    /** The requests that one router may have in flight if it has an even share of all places. */
    private val ownPlaces = maxOf(1, plan.endpoints * (plan.slots + plan.queue) / plan.routers)

    /** Returns the outcomes of all requests. */
    fun play(): ServiceOutcomes {
        endpoints.forEach { it.start() }
        if (strategy.digests && strategy.choice !== TODAY) {
            routers.forEach { router -> after(random.nextLong(plan.digestMs)) { sendDigest(router) } }
        }
        scheduleArrival()
        while (events.isNotEmpty() && events.peek().atMs < plan.durationMs + DEADLINE_MS) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
        return outcomes
    }

    private fun scheduleArrival() {
        val wave = 1 + WAVE_AMPLITUDE * sin(2 * PI * nowMs / WAVE_MS)
        val burst = if ((nowMs + BURST_EVERY_MS / 2) % BURST_EVERY_MS < BURST_MS) plan.burstFactor else 1.0
        val gapMs = -ln(1 - arrivalRandom.nextDouble()) * MS_PER_SECOND / (plan.requestsPerSecond * wave * burst)
        arrivalMs += gapMs
        if (arrivalMs >= plan.durationMs) return
        after(maxOf(0, arrivalMs.toLong() - nowMs)) {
            outcomes.requests++
            val spread = arrivalRandom.asJavaRandom().nextGaussian() * plan.workSpread
            val workMs = plan.workMs * exp(spread - plan.workSpread * plan.workSpread / 2)
            routers[arrivalRandom.nextInt(plan.routers)].onRequest(Request(nowMs, workMs))
            scheduleArrival()
        }
    }

    private fun sendDigest(sender: ModelRouter) {
        routers.filter { it !== sender && it.index / REGION_ROUTERS == sender.index / REGION_ROUTERS }
            .forEach { if (random.nextDouble() >= plan.digestLoss) it.hear(sender) }
        after(plan.digestMs) { sendDigest(sender) }
    }

    private fun after(delayMs: Long, action: () -> Unit) {
        events += Event(nowMs + delayMs, eventNumber++, action)
    }

    internal companion object {
        /** Marks routers that choose as for endpoints that state no pace. */
        val TODAY: ServiceChoice = { candidates, _ -> candidates.minBy { it.responseTimeMs } }

        /** Chooses the endpoint that is expected to respond first. */
        val LEAST: ServiceChoice = { candidates, _ -> candidates.minBy { it.responseTimeMs } }

        /** Chooses at random, with weights that fall with the square of the expected time. */
        val WEIGHTED: ServiceChoice = { candidates, random ->
            val sums = candidates.runningFold(0.0) { sum, timed ->
                sum + 1 / (timed.responseTimeMs * timed.responseTimeMs)
            }
            val target = random() * sums.last()
            candidates[sums.drop(1).indexOfFirst { it > target }.coerceAtLeast(0)]
        }
    }
}
