package corneltrack.router

import corneltrack.world.Cell
import corneltrack.world.PoolKind
import io.netty.buffer.ByteBuf

private const val LINE_FEED = '\n'.code.toByte()
private const val MAXIMUM_TAIL_BYTES = 256
private val COMPLETION_TOKENS = Regex("\"completion_tokens\"\\s*:\\s*(\\d{1,9})")

/**
 * Charges the cost of one attempt to its workspace.
 *
 * The estimate is charged at the start, any excess over it while the response arrives, and at the end the difference
 * from the actual cost. An event stream of a model costs one unit per event; a complete response costs the number of
 * completion tokens that it reports, or 1 if it reports none. A plain service costs one unit per millisecond that it
 * occupies its slot, and at least 1. Only used on one event loop.
 *
 * @param lender the cell whose allocator lent the slot.
 * @param estimate the expected cost.
 */
internal class AttemptCostTracker(
    private val request: RoutedRequest,
    private val lender: Cell,
    private val servedCosts: ServedCostCounter,
    estimate: Long,
) {
    private var charged = 0L
    private var actual = 0L
    private var lineFeeds = 0
    private var streamed = false

    /** The end of a complete response, which contains the number of completion tokens. */
    private var tail = ByteArray(0)

    init {
        charge(estimate)
    }

    /** The actual cost measured so far. */
    val total: Long get() = actual

    /** Counts the events that end within [data] and charges their cost in excess of the estimate. */
    fun onContent(data: ByteBuf) {
        if (request.pool.kind != PoolKind.MODEL) {
            return
        }
        val events = countEvents(data)
        if (events > 0) {
            streamed = true
            actual += events
            charge(maxOf(0, actual - charged))
        } else if (!streamed) {
            appendToTail(data)
        }
    }

    /** Charges the difference between the actual cost and the cost charged so far; the attempt has ended. */
    fun onEnd(elapsedMs: Long) {
        when {
            request.pool.kind == PoolKind.SERVICE -> actual = maxOf(1, elapsedMs)
            !streamed -> actual = reportedTokens()
        }
        charge(actual - charged)
    }

    private fun charge(cost: Long) {
        charged += cost
        servedCosts.add(lender, request.workspace, cost)
    }

    private fun countEvents(data: ByteBuf): Int {
        var events = 0
        data.forEachByte { byte ->
            lineFeeds = if (byte == LINE_FEED) lineFeeds + 1 else 0
            if (lineFeeds == 2) {
                events++
                lineFeeds = 0
            }
            true
        }
        return events
    }

    private fun appendToTail(data: ByteBuf) {
        val latest = ByteArray(minOf(MAXIMUM_TAIL_BYTES, data.readableBytes()))
        data.getBytes(data.writerIndex() - latest.size, latest)
        tail = (tail + latest).let { it.copyOfRange(maxOf(0, it.size - MAXIMUM_TAIL_BYTES), it.size) }
    }

    private fun reportedTokens(): Long =
        COMPLETION_TOKENS.findAll(String(tail)).lastOrNull()?.groupValues?.get(1)?.toLong() ?: 1
}
