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
 * Configures a constant backlog of one workspace at one router.
 *
 * @property address the caller address of the router, as `host:port`.
 * @property calls the number of concurrent calls; more than the router can start, so that some are always queued.
 * @property alternateAddresses where a load balancer sends the calls once a connection to [address] has failed.
 */
public data class Backlog(
    val workspace: WorkspaceId,
    val address: String,
    val calls: Int,
    val alternateAddresses: List<String> = emptyList(),
)

/** Counts the results of calls as callers see them. */
public class CallCounts {
    /** Complete responses that match their requests. */
    public val complete: AtomicInteger = AtomicInteger()

    /** Refusals that report that the request did not run. */
    public val notRun: AtomicInteger = AtomicInteger()

    /** Responses that report that it is unknown whether the request ran. */
    public val unknown: AtomicInteger = AtomicInteger()

    /** Calls that were sent and whose response was cut off or never began. */
    public val incomplete: AtomicInteger = AtomicInteger()

    /** Calls whose connection could not be established. */
    public val notConnected: AtomicInteger = AtomicInteger()

    /** Complete responses that do not match their requests, for example those of another caller. */
    public val mismatched: AtomicInteger = AtomicInteger()

    override fun toString(): String =
        "whole=$complete not-run=$notRun unknown=$unknown cut=$incomplete foreign=$mismatched unreached=$notConnected"
}

/**
 * Generates load: keeps workspaces backlogged with streamed requests and counts the tokens that each receives.
 *
 * @param requestTokens the number of tokens to request for a workspace.
 */
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

    /** The results so far. */
    public val counts: CallCounts = CallCounts()

    /** The number of calls without a result yet. */
    public val openCalls: Int get() = openCallCount.get()

    /** Starts sending; each call is followed by another one when it ends. */
    public fun start() {
        backlogs.forEach { backlog -> repeat(backlog.calls) { sendNext(backlog) } }
    }

    /** Sends no further calls; open ones continue. */
    public fun stop() {
        stopped = true
    }

    /** Returns the number of tokens received so far by workspace. */
    public fun receivedTokens(): Map<WorkspaceId, Long> = receivedTokens.mapValues { it.value.get() }

    /** Returns the counts and tokens in one line. */
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
            else -> counts.incomplete
        }
        counter.incrementAndGet()
    }

    private fun afterRetryDelay(action: () -> Unit) {
        CompletableFuture.delayedExecutor(RETRY_DELAY_MS, TimeUnit.MILLISECONDS).execute(action)
    }
}

private const val STATUS_OK = 200
