package corneltrack.router

import corneltrack.world.Cell
import corneltrack.world.PoolKind
import io.netty.buffer.ByteBuf

private const val LINE_FEED = '\n'.code.toByte()
private const val MAXIMUM_TAIL_BYTES = 256
private val COMPLETION_TOKENS = Regex("\"completion_tokens\"\\s*:\\s*(\\d{1,9})")

/**
 * Charges one attempt's cost: an estimate at the start, more as soon as it proves too low, and the rest at the end.
 *
 * A streamed answer of a model costs one unit for each event; a whole one costs the completion tokens that it states.
 * A plain service costs one unit for each millisecond of its slot. Used on one event loop.
 *
 * @param lender the cell whose allocator lent the slot.
 * @param estimate the expected cost, which is charged at once.
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
    private var tail = ByteArray(0)

    init {
        charge(estimate)
    }

    /** The cost known so far. */
    val total: Long get() = actual

    /** Charges the events that end within [data]. */
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

    /** Settles the cost when the attempt has ended, for whatever reason. */
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
