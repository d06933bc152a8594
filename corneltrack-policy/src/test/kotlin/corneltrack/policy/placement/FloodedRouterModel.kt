package corneltrack.policy.placement

import corneltrack.policy.limits.EventLoopLag
import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import java.util.PriorityQueue
import kotlin.random.Random

private const val LAG_PERIOD_MS = 100.0
private const val DIGEST_PERIOD_MS = 200.0
private const val MS_PER_SECOND = 1_000
private const val READS_PER_ITERATION = 1_024
private const val PROMPT_TOKENS = 6_000L

/** The part of the prompts for which an engine is looked for that get one. */
private const val ENGINE_FOUND = 0.8

/** The pauses of the whole process, such as full garbage collections: how often and for how long, in ms. */
private const val PAUSE_INTERVAL_MS = 1_500.0
private const val PAUSE_MS = 120.0

internal val FLOOD = WorkspaceId("flood")
internal val MINOR = WorkspaceId("minor")
internal val LARGE = WorkspaceId("large")

/**
 * Describes the load of one router and what its peers report.
 *
 * @property floodPerSecond the prompts of the flooding workspace, all of which reach this router.
 * @property minorPerSecond the requests to plain services of a workspace that sends little.
 * @property largeTokens the tokens a second that the best-served workspace is granted at the peers.
 * @property refusalMs the processor time to read and refuse a request, in ms of this router's share.
 * @property placementMs the processor time to place a prompt and to relay its answer, in ms of this router's share.
 * @property contended whether engines refuse some of what the peers attempt.
 * @property returnAfterMs after how many ms a caller of the flood that the router refuses as it is late returns, once,
 *   by how long the flood has lasted; null if callers do not return.
 */
internal data class FloodedRouterPlan(
    val floodPerSecond: Double = 1_500.0,
    val minorPerSecond: Double = 20.0,
    val largeTokens: Double = 1_000_000.0,
    val refusalMs: Double = 0.25,
    val placementMs: Double = 4.5,
    val contended: Boolean = true,
    val seconds: Int = 12,
    val seed: Int = 1,
    val returnAfterMs: ((floodMs: Long, random: Random) -> Long)? = null,
)

/** What the callers of one workspace got from the router in one second. */
internal data class RouterSecond(var read: Int = 0, var admitted: Int = 0, var grantedTokens: Long = 0)

/** Plays a flood at one router whose processor reads, refuses and places in turn, in virtual time. */
internal class FloodedRouterModel(private val plan: FloodedRouterPlan) {
    private val random = Random(plan.seed)
    private val lag = EventLoopLag(LAG_PERIOD_MS.toLong())
    private val shares = FairShareTracker()
    private val shedding = LoadShedding(lag, shares)

    /** When refused callers of the flood return, in ms. */
    private val returningMs = PriorityQueue<Double>()
    private val seconds = mapOf(FLOOD to seconds(), MINOR to seconds())
    private var nowMs = 0.0
    private var readMs = 0.0
    private var nextLagMs = LAG_PERIOD_MS
    private var nextDigestMs = 0.0
    private var nextPauseMs = PAUSE_INTERVAL_MS

    /** Returns what the flooding and the minor workspace got, second by second. */
    fun play(): Map<WorkspaceId, List<RouterSecond>> {
        while (nowMs < plan.seconds * MS_PER_SECOND) {
            iterate()
        }
        return seconds
    }

    private fun seconds() = List(plan.seconds + 2) { RouterSecond() }

    /** Runs one iteration of the event loop: its due tasks, and the requests that have arrived by its start. */
    private fun iterate() {
        val startMs = nowMs
        runTasks()
        val perMs = (plan.floodPerSecond + plan.minorPerSecond) / MS_PER_SECOND
        val arrived = ((startMs - readMs) * perMs).toInt()
        if (arrived == 0) nowMs += 1
        val count = minOf(arrived, READS_PER_ITERATION)
        readMs += count / perMs
        repeat(count) { read(random.nextDouble() * (plan.floodPerSecond + plan.minorPerSecond) < plan.floodPerSecond) }
        generateSequence { returningMs.peek()?.takeIf { it <= startMs }?.also { returningMs.remove() } }
            .forEach { _ -> read(flood = true, returned = true) }
    }

    private fun runTasks() {
        if (nowMs >= nextLagMs) {
            lag.onTick(nowMs.toLong())
            nextLagMs = nowMs + LAG_PERIOD_MS
        }
        if (nowMs >= nextPauseMs) {
            nextPauseMs = nowMs + PAUSE_INTERVAL_MS
            nowMs += PAUSE_MS
        }
        if (nowMs >= nextDigestMs) {
            nextDigestMs = nowMs + DIGEST_PERIOD_MS
            val attempted = if (plan.contended) 2 * plan.largeTokens else plan.largeTokens
            val rate = WorkspaceRate(3 * plan.largeTokens, plan.largeTokens, attempted)
            shares.onPeer(InstanceId("peer"), mapOf(LARGE to rate), nowMs.toLong())
        }
    }

    private fun read(flood: Boolean, returned: Boolean = false) {
        val workspace = if (flood) FLOOD else MINOR
        val second = seconds.getValue(workspace)[(nowMs / MS_PER_SECOND).toInt()]
        second.read++
        val cost = PROMPT_TOKENS.takeIf { flood }
        val decision = shedding.decide(workspace, cost, nowMs.toLong())
        val admitted = decision == SheddingDecision.ADMIT
        if (flood && !returned && decision == SheddingDecision.OVERLOADED) scheduleReturn()
        nowMs += if (admitted) plan.placementMs else plan.refusalMs
        if (!admitted) return
        second.admitted++
        if (cost == null) return
        val granted = random.nextDouble() < ENGINE_FOUND
        shares.onAttempted(workspace, cost, granted, nowMs.toLong())
        if (granted) second.grantedTokens += cost
    }

    private fun scheduleReturn() {
        plan.returnAfterMs?.let { returningMs += nowMs + it(nowMs.toLong(), random) }
    }
}
