package corneltrack.testbed

import corneltrack.world.WorkspaceId
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private const val RETRY_MS = 100L
private val EVENT = Regex("data: \\{")

/**
 * Keeps [calls] requests of one workspace under way at the router at [address], so that some always wait.
 *
 * @property others where a balancer sends them once nobody listens at [address].
 */
public data class Backlog(
    val workspace: WorkspaceId,
    val address: String,
    val calls: Int,
    val others: List<String> = emptyList(),
)

/** Counts what callers saw. */
public class CallCounts {
    /** Whole answers that were the caller's own. */
    public val whole: AtomicInteger = AtomicInteger()

    /** Refusals that say that the request did not run. */
    public val notRun: AtomicInteger = AtomicInteger()

    /** Refusals that say that the request may have run. */
    public val unknown: AtomicInteger = AtomicInteger()

    /** Calls that were sent and whose answer was cut off or never began. */
    public val cut: AtomicInteger = AtomicInteger()

    /** Calls that found nobody listening. */
    public val unreached: AtomicInteger = AtomicInteger()

    /** Answers that were not the caller's own. */
    public val foreign: AtomicInteger = AtomicInteger()

    override fun toString(): String =
        "whole=$whole not-run=$notRun unknown=$unknown cut=$cut foreign=$foreign unreached=$unreached"
}

/** Keeps workspaces backlogged with streamed requests and counts the tokens that each receives. */
public class LoadDriver(
    private val client: CallerClient,
    private val backlogs: List<Backlog>,
    private val tokensOf: (WorkspaceId) -> Int,
) {
    private val served = ConcurrentHashMap<WorkspaceId, AtomicLong>()
    private val sequence = AtomicLong()
    private val open = AtomicInteger()
    private val unreachable: MutableSet<String> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var stopped = false

    /** What callers saw so far. */
    public val counts: CallCounts = CallCounts()

    /** The requests under way. */
    public val openCalls: Int get() = open.get()

    /** Begins to send. */
    public fun start() {
        backlogs.forEach { backlog -> repeat(backlog.calls) { next(backlog) } }
    }

    /** Sends no further requests; those under way go on. */
    public fun stop() {
        stopped = true
    }

    /** Returns the tokens received so far by workspace. */
    public fun served(): Map<WorkspaceId, Long> = served.mapValues { it.value.get() }

    /** Returns counts and tokens in one line. */
    public fun summary(): String = "$counts tokens=${served().toSortedMap()}"

    private fun next(backlog: Backlog) {
        if (stopped) {
            return
        }
        val tokens = tokensOf(backlog.workspace)
        val word = "${backlog.workspace}x${sequence.incrementAndGet()}"
        val address = addressOf(backlog)
        val counter = served.computeIfAbsent(backlog.workspace) { AtomicLong() }
        open.incrementAndGet()
        client.call(address, chat(backlog.workspace, word, tokens)) { data ->
            counter.addAndGet(EVENT.findAll(data).count().toLong())
        }.result.thenAccept { result ->
            open.decrementAndGet()
            count(result, word, tokens)
            if (!result.connected) unreachable += address
            if (result.status == OK) next(backlog) else later { next(backlog) }
        }
    }

    private fun addressOf(backlog: Backlog): String {
        val others = backlog.others.filter { it !in unreachable }
        return if (backlog.address in unreachable && others.isNotEmpty()) others.random() else backlog.address
    }

    private fun count(result: CallResult, word: String, tokens: Int) {
        val counter = when {
            result.isOwnStream(word, tokens) -> counts.whole
            !result.connected -> counts.unreached
            result.outcome == "not-run" -> counts.notRun
            result.outcome == "unknown" -> counts.unknown
            result.complete -> counts.foreign
            else -> counts.cut
        }
        counter.incrementAndGet()
    }

    private fun later(action: () -> Unit) {
        CompletableFuture.delayedExecutor(RETRY_MS, TimeUnit.MILLISECONDS).execute(action)
    }
}

private const val OK = 200
