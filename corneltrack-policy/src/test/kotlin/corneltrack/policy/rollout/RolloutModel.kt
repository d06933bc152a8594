package corneltrack.policy.rollout

import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.PoolId
import kotlin.math.exp
import kotlin.random.Random

/**
 * A fleet in three regions that carries out one order, on a virtual clock in steps of [STEP_MS].
 *
 * Digests take 5 to 80 ms within a region and 100 to 400 ms to another, to which only a third of them are sent; one in
 * ten is lost. The store takes 20 to 80 ms to write and 50 to 300 ms until a region has read a change.
 */
internal class RolloutModel(private val scenario: ModelScenario, seed: Int) {
    private val random = Random(seed)
    private val order = RolloutOrder(PoolId("p"), TARGET, DURATION_MS, 1)
    private val regions = List(REGIONS) { ModelRegion(it, order, scenario.routers) }
    private val routers = List(scenario.routers) {
        val credit = if (scenario.firstCredit) firstTrialCredit(it, scenario.routers) else 0.0
        ModelRouter(it, regions[it % REGIONS], order, credit)
    }
    private val queue = Array<ArrayList<() -> Unit>?>((HORIZON_MS / STEP_MS).toInt() + 1) { null }
    private val schedule = RolloutSchedule(DRAIN_MS, LONGEST_RESPONSE_MS)
    private val plan = trialPlan(List(scenario.endpoints) { EndpointId("e$it") }, scenario.endpoints)
    private val oddRoute = random.nextInt(MODEL_ROUTES.size)
    private val faultFromMs = random.nextLong(500, 9_000)
    private val faultToMs = faultFromMs + random.nextLong(4_000, 20_000)
    private val cutRegion = if (scenario.fault == ModelFault.PARTITION) random.nextInt(REGIONS) else -1
    private val wallClockOffsetMs = random.nextLong(10_000)
    private val counts = ModelCounts()
    private var store: RolloutStatus? = null
    private var storeEnd = 0L
    private var now = 0L

    fun run(): ModelResult {
        while (now < HORIZON_MS && !settled()) {
            step()
            now += STEP_MS
        }
        return counts.result(store)
    }

    private fun settled() = now > DURATION_MS && store?.phase?.ended == true && now > counts.endedMs + SETTLE_MS

    private fun step() {
        queue[(now / STEP_MS).toInt()]?.forEach { it() }
        queue[(now / STEP_MS).toInt()] = null
        if (scenario.fault == ModelFault.DECIDER_KILLED && now >= faultFromMs) routers.first().alive = false
        repeat(random.poisson(scenario.requestsPerSecond * STEP_MS / 1_000.0)) { request(retry = false) }
        routers.forEach {
            if (it.alive && it.region.open && (now / STEP_MS + it.index) % DIGEST_STEPS == 0L) sendDigest(it)
        }
        if (now / STEP_MS % DECISION_STEPS == 0L) regions.filter { it.open }.forEach(::decide)
    }

    private fun later(delayMs: Long, action: () -> Unit) {
        val slot = ((now + maxOf(STEP_MS, delayMs)) / STEP_MS).toInt()
        if (slot < queue.size) (queue[slot] ?: ArrayList<() -> Unit>().also { queue[slot] = it }).add(action)
    }

    private fun faulty(fault: ModelFault) = scenario.fault == fault && now in faultFromMs until faultToMs

    private fun cut(region: ModelRegion) = faulty(ModelFault.PARTITION) && region.index == cutRegion

    private fun storeReachable(region: ModelRegion) = !faulty(ModelFault.STORE) && !cut(region)

    private fun sendDigest(router: ModelRouter) {
        val snapshot = router.own.snapshot()
        val report = router.reported()
        val bad = router.region.bad
        for (region in regions) {
            val local = region === router.region
            val sent = local || (now / STEP_MS / DIGEST_STEPS + router.index) % REMOTE_DIGESTS == 0L
            val parted = !local && (cut(region) || cut(router.region))
            if (!sent || parted || random.nextInt(100) < LOSS_PERCENT) continue
            later(if (local) random.nextLong(5, 80) else random.nextLong(100, 400)) {
                if (region.evidence.merge(snapshot)) region.changed = true
                region.shifts[router.index] = report
                region.heardAtMs[router.index] = now
                if (bad != null) region.stop(bad, now)
            }
        }
    }

    private fun request(retry: Boolean) {
        val router = routers[random.nextInt(routers.size)].takeIf { it.alive } ?: routers.last()
        val region = router.region
        val route = random.route()
        val versions = versionsInForce(LISTED, order, region.status, stopped = region.bad != null)
        router.share.onRequest()
        val trial = versions.trial == TARGET && plan.open(now + wallClockOffsetMs)
        val target = TARGET in versions.regular || (trial && router.share.tryTake())
        counts.onRequest(target, now, store, router)
        respond(router, route, target, retry)
    }

    private fun respond(router: ModelRouter, route: Int, target: Boolean, retry: Boolean) {
        val response = response(route, target)
        if (!target) router.oldInFlight++
        later((MODEL_ROUTES[route].durationMs(response) * if (response.failed) random.nextDouble() else 1.0).toLong()) {
            if (target) counts.onTargetResponse(response.isBad(), now) else router.oldInFlight--
            val ratio = response.firstEventRatio.takeUnless { response.failed }
            val pause = response.pauseRatio.takeUnless { response.failed }
            if (router.region.open) {
                router.own.onResponse(response.copy(firstEventRatio = ratio, pauseRatio = pause), now)
            }
            if (response.failed && !retry) request(retry = true)
        }
    }

    private fun response(route: Int, target: Boolean): RolloutResponse {
        val slower = if (target) scenario.version.slower * TRIAL_SLOWDOWN else 1.0
        val kind = MODEL_ROUTES[route]
        return RolloutResponse(
            version = if (target) TARGET else BASELINE,
            route = "r$route",
            failed = random.nextDouble() < kind.failing || (target && random.nextDouble() < failing(route)),
            firstEventRatio = slower * random.ratio(0.35),
            pauseRatio = if (kind.streamMs > 0) slower * random.ratio(0.25) else null,
        )
    }

    private fun failing(route: Int): Double = when (scenario.version) {
        ModelVersion.LATE -> if (now >= DURATION_MS / 2) scenario.version.failing else 0.0
        ModelVersion.ROUTE -> if (route == oddRoute) scenario.version.failing else 0.0
        ModelVersion.LOAD -> if (loaded()) scenario.version.failing else 0.0
        else -> scenario.version.failing
    }

    /** Whether each endpoint of the trial now gets four fifths of what an old one gets. */
    private fun loaded(): Boolean {
        val perSecond = counts.recentTargetRequests(now).toDouble() / RECENT_SECONDS / plan.endpoints.size
        return perSecond >= LOAD_SHARE * scenario.requestsPerSecond / scenario.endpoints
    }

    private fun decide(region: ModelRegion) {
        val started = region.status?.startedWallClockMs ?: 0
        val verdict = region.judge(schedule.lastCall(started, DURATION_MS, now), now)
        val members = routers.filter { it.alive && it.region === region }
        val self = members.first()
        val rank = routers.count {
            it.index < self.index && now - region.heardAtMs[it.index] < TAKEOVER_MS && !(it.region === region)
        }
        val view = RolloutView(
            instance = InstanceId("router-${self.index}"),
            rank = rank,
            order = order,
            orderSeenMs = 0,
            status = region.status,
            baseline = BASELINE,
            targetEndpoints = scenario.endpoints,
            verdict = verdict,
            badSinceMs = region.badSinceMs,
            shifts = region.shifts.mapIndexed { index, report ->
                if (index == self.index) self.reported() else report.copy(silentMs = now - region.heardAtMs[index])
            },
            schedule = schedule,
        )
        val step = decideRolloutStep(view, now)
        if (step is RolloutStep.Write && !region.writeInFlight) write(region, step.status)
    }

    private fun write(region: ModelRegion, status: RolloutStatus) {
        val end = region.statusEnd
        region.writeInFlight = true
        later(random.nextLong(20, 80)) {
            if (storeReachable(region) && storeEnd == end) {
                store = status
                storeEnd++
                counts.onStatus(status, now)
                regions.forEach(::read)
            }
            later(WRITE_RETRY_MS) { region.writeInFlight = false }
        }
    }

    /** Lets a region read the newest status, and try again later while it cannot. */
    private fun read(region: ModelRegion) {
        later(random.nextLong(50, 300)) {
            if (storeReachable(region)) {
                region.status = store
                region.statusEnd = storeEnd
            } else {
                read(region)
            }
        }
    }

    companion object {
        const val DURATION_MS = 12_000L
        private const val TARGET = "v2"
        private const val BASELINE = "v1"
        private val LISTED = setOf(TARGET, BASELINE)
        private const val REGIONS = 3
        private const val STEP_MS = 10L
        private const val HORIZON_MS = 40_000L
        private const val SETTLE_MS = 1_000L
        private const val DIGEST_STEPS = 10L
        private const val DECISION_STEPS = 10L
        private const val REMOTE_DIGESTS = 3L
        private const val LOSS_PERCENT = 10
        private const val TAKEOVER_MS = 1_000L
        private const val WRITE_RETRY_MS = 300L
        private const val DRAIN_MS = 2_600L
        private const val LONGEST_RESPONSE_MS = 6_000L
        private const val TRIAL_SLOWDOWN = 1.15
        private const val LOAD_SHARE = 0.8
        private const val RECENT_SECONDS = 0.5
    }
}

/** Counts of one run of the model. */
internal class ModelCounts {
    private var requests = 0L
    private var targetRequests = 0L
    private var badResponses = 0
    private var fiftiethMs = Long.MAX_VALUE
    private var lastTargetMs = 0L
    private var sentToStopped = 0
    private val recent = ArrayDeque<Long>()
    var endedMs = Long.MAX_VALUE / 2
        private set

    fun onRequest(target: Boolean, nowMs: Long, store: RolloutStatus?, router: ModelRouter) {
        if (nowMs < RolloutModel.DURATION_MS) {
            requests++
            if (target) targetRequests++
        }
        if (target) {
            lastTargetMs = nowMs
            recent.addLast(nowMs)
        } else if (store?.phase == RolloutPhase.COMPLETED && router.region.status?.phase == RolloutPhase.SHIFTING) {
            sentToStopped++
        }
    }

    fun recentTargetRequests(nowMs: Long): Int {
        while (recent.isNotEmpty() && recent.first() < nowMs - 500) recent.removeFirst()
        return recent.size
    }

    fun onTargetResponse(bad: Boolean, nowMs: Long) {
        if (bad && ++badResponses == 50) fiftiethMs = nowMs
    }

    fun onStatus(status: RolloutStatus, nowMs: Long) {
        if (status.phase.ended) endedMs = nowMs
    }

    fun result(store: RolloutStatus?) = ModelResult(
        store?.phase,
        endedMs,
        requests,
        targetRequests,
        if (fiftiethMs == Long.MAX_VALUE) 0 else maxOf(0, lastTargetMs - fiftiethMs),
        sentToStopped,
    )
}

private fun Random.poisson(mean: Double): Int {
    val limit = exp(-mean)
    var product = nextDouble()
    var count = 0
    while (product > limit) {
        product *= nextDouble()
        count++
    }
    return count
}
