package corneltrack.testbed

import corneltrack.world.WorkspaceId
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private const val RETRY_DELAY_MS = 100L
private val TOKEN_EVENT = Regex("data: \\{")

/**
 * Keeps [calls] requests of one workspace under way at the router at [address], so that some always wait.
 *
 * @property alternateAddresses where a balancer sends them once nobody listens at [address].
 */
public data class Backlog(
    val workspace: WorkspaceId,
    val address: String,
    val calls: Int,
    val alternateAddresses: List<String> = emptyList(),
)

/** Counts what callers saw. */
public class CallCounts {
    /** Whole answers that were the caller's own. */
    public val complete: AtomicInteger = AtomicInteger()

    /** Refusals that say that the request did not run. */
    public val notRun: AtomicInteger = AtomicInteger()

    /** Refusals that say that the request may have run. */
    public val unknown: AtomicInteger = AtomicInteger()

    /** Calls that were sent and whose answer was cut off or never began. */
    public val truncated: AtomicInteger = AtomicInteger()

    /** Calls that found nobody listening. */
    public val notConnected: AtomicInteger = AtomicInteger()

    /** Answers that were not the caller's own. */
    public val mismatched: AtomicInteger = AtomicInteger()

    override fun toString(): String =
        "whole=$complete not-run=$notRun unknown=$unknown cut=$truncated foreign=$mismatched unreached=$notConnected"
}

/** Keeps workspaces backlogged with streamed requests and counts the tokens that each receives. */
public class LoadDriver(
    private val client: CallerClient,
    private val backlogs: List<Backlog>,
    private val requestTokens: (WorkspaceId) -> Int,
) {
    private val receivedTokens = ConcurrentHashMap<WorkspaceId, AtomicLong>()
    private val sequence = AtomicLong()
    private val openCallCount = AtomicInteger()
    private val unreachableAddresses: MutableSet<String> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var stopped = false

    /** What callers saw so far. */
    public val counts: CallCounts = CallCounts()

    /** The requests under way. */
    public val openCalls: Int get() = openCallCount.get()

    /** Begins to send. */
    public fun start() {
        backlogs.forEach { backlog -> repeat(backlog.calls) { sendNext(backlog) } }
    }

    /** Sends no further requests; those under way go on. */
    public fun stop() {
        stopped = true
    }

    /** Returns the tokens received so far by workspace. */
    public fun receivedTokens(): Map<WorkspaceId, Long> = receivedTokens.mapValues { it.value.get() }

    /** Returns counts and tokens in one line. */
    public fun summary(): String = "$counts tokens=${receivedTokens().toSortedMap()}"

    private fun sendNext(backlog: Backlog) {
        if (stopped) {
            return
        }
        val tokens = requestTokens(backlog.workspace)
        val word = "${backlog.workspace}x${sequence.incrementAndGet()}"
        val address = addressFor(backlog)
        val counter = receivedTokens.computeIfAbsent(backlog.workspace) { AtomicLong() }
        openCallCount.incrementAndGet()
        client.call(address, chat(backlog.workspace, word, tokens)) { data ->
            counter.addAndGet(TOKEN_EVENT.findAll(data).count().toLong())
        }.result.thenAccept { result ->
            openCallCount.decrementAndGet()
            count(result, word, tokens)
            if (!result.connected) unreachableAddresses += address
            if (result.status == STATUS_OK) sendNext(backlog) else afterRetryDelay { sendNext(backlog) }
        }
    }

    private fun addressFor(backlog: Backlog): String {
        val alternates = backlog.alternateAddresses.filter { it !in unreachableAddresses }
        return if (backlog.address in unreachableAddresses && alternates.isNotEmpty()) {
            alternates.random()
        } else {
            backlog.address
        }
    }

    private fun count(result: CallResult, word: String, tokens: Int) {
        val counter = when {
            result.isExpectedStream(word, tokens) -> counts.complete
            !result.connected -> counts.notConnected
            result.outcome == "not-run" -> counts.notRun
            result.outcome == "unknown" -> counts.unknown
            result.complete -> counts.mismatched
            else -> counts.truncated
        }
        counter.incrementAndGet()
    }

    private fun afterRetryDelay(action: () -> Unit) {
        CompletableFuture.delayedExecutor(RETRY_DELAY_MS, TimeUnit.MILLISECONDS).execute(action)
    }
}

private const val STATUS_OK = 200
