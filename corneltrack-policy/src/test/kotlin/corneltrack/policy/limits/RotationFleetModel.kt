package corneltrack.policy.limits

private const val STEP_MS = 100L
private const val LATE_MS = 300L
private const val IN_TIME_MS = 5L
private const val CHECK_INTERVAL_MS = 1_000L
private const val MISSES_OUT = 2

/** The part of the flood's connections that are opened anew in one step. */
private const val RENEWED_PER_STEP = 0.15

/** The part of its capacity that a router uses without the flood. */
private const val USUAL_LOAD = 0.3

/**
 * Describes a data centre and the flood that reaches it.
 *
 * @property flood what the flood needs, in multiples of what one router can do.
 * @property usualLoad the part of its capacity that each router uses without the flood.
 * @property digestMs how often a router hears each of its peers, in ms; it hears at once who leaves or returns.
 * @property cut the routers that neither send nor hear digests.
 * @property paused the routers that stand still in [pausedMs].
 * @property killed the routers that end at the start of [pausedMs]; they stay listed.
 */
internal data class RotationFleetPlan(
    val routers: Int,
    val flood: Double = 0.0,
    val usualLoad: Double = USUAL_LOAD,
    val digestMs: Long = 600,
    val cut: Set<Int> = emptySet(),
    val paused: Set<Int> = emptySet(),
    val killed: Set<Int> = emptySet(),
    val pausedMs: LongRange = 6_000L..9_000L,
    val durationMs: Long = 30_000,
)

/** The state of all routers in one step. */
internal data class RotationStep(val atMs: Long, val outOfRotation: Set<Int>, val floodServed: Double)

/** Plays routers behind a load balancer that leave its rotation under overload, in virtual time. */
internal class RotationFleetModel(private val plan: RotationFleetPlan) {
    private data class HeardReport(val report: RotationReport, val atMs: Long)

    private inner class Router(val index: Int) {
        val rotation = OverloadRotation(spread = index.toDouble() / plan.routers)
        val heard = HashMap<Int, HeardReport>()
        var connections = 0.0
        var misses = 0

        fun isAlive(nowMs: Long) = !(index in plan.killed && nowMs >= plan.pausedMs.first)

        fun runs(nowMs: Long) = isAlive(nowMs) && !(index in plan.paused && nowMs in plan.pausedMs)

        val load get() = plan.usualLoad + plan.flood * connections
        val lagMs get() = if (load > 1) LATE_MS else IN_TIME_MS

        fun update(nowMs: Long): Boolean {
            val reports = heard.filterValues { nowMs - it.atMs < RESPONSIVE_MS }.mapValues { it.value.report }
            val peers = rotationPeers(index, plan.routers, reports)
            return rotation.update(lagMs, peers, nowMs)
        }
    }

    private val routers = List(plan.routers) { Router(it) }

    /** Returns all steps. */
    fun play(): List<RotationStep> = (0 until plan.durationMs step STEP_MS).map(::step)

    private fun step(nowMs: Long): RotationStep {
        if (nowMs % CHECK_INTERVAL_MS == 0L) routers.forEach { check(it, nowMs) }
        assignConnections(nowMs)
        routers.filter { it.runs(nowMs) }.forEach { router ->
            val changed = router.update(nowMs)
            if (changed || (nowMs + router.index * STEP_MS) % plan.digestMs == 0L) sendDigest(router, nowMs)
        }
        val out = routers.filter { !it.rotation.inRotation }.map { it.index }.toSet()
        val served = routers.filter { it.runs(nowMs) }
            .sumOf { minOf(plan.flood * it.connections, 1 - plan.usualLoad) }
        return RotationStep(nowMs, out, served)
    }

    private fun check(router: Router, nowMs: Long) {
        val ready = router.runs(nowMs) && router.rotation.inRotation
        router.misses = if (ready) 0 else router.misses + 1
    }

    /** Moves the connections that are opened anew to the first router in the load balancer's rotation. */
    private fun assignConnections(nowMs: Long) {
        val inRotation = routers.filter { it.misses < MISSES_OUT }
        val target = (if (2 * inRotation.size >= routers.size) inRotation else routers).first()
        routers.forEach { it.connections *= if (it.isAlive(nowMs)) 1 - RENEWED_PER_STEP else 0.0 }
        target.connections += 1 - routers.sumOf { it.connections }
    }

    private fun sendDigest(sender: Router, nowMs: Long) {
        if (sender.index in plan.cut) return
        val report = HeardReport(RotationReport(sender.lagMs, sender.rotation.inRotation), nowMs)
        routers.filter { it !== sender && it.runs(nowMs) && it.index !in plan.cut }
            .forEach { it.heard[sender.index] = report }
    }

    private companion object {
        const val RESPONSIVE_MS = 1_500L
    }
}
