package corneltrack.router

import corneltrack.world.Endpoint
import corneltrack.world.PoolKind
import io.netty.buffer.ByteBuf

private const val NEW_LINE = '\n'.code.toByte()
private const val TAIL_BYTES = 256
private val COMPLETION_TOKENS = Regex("\"completion_tokens\"\\s*:\\s*(\\d{1,9})")

/**
 * Charges one attempt's cost as it becomes known.
 *
 * A streamed answer of a model costs one unit for each event; a whole one costs the completion tokens that it states.
 * A plain service costs one unit for each millisecond of its slot. Used on one event loop.
 */
internal class CostMeter(
    private val request: RoutedRequest,
    private val endpoint: Endpoint,
    private val meter: ServiceMeter,
) {
    private var charged = 0L
    private var newLines = 0
    private var streamed = false
    private var tail = ByteArray(0)

    /** The cost charged so far. */
    val total: Long get() = charged

    /** Charges the events that end within [data]. */
    fun onContent(data: ByteBuf) {
        if (request.pool.kind != PoolKind.MODEL) {
            return
        }
        val events = countEvents(data)
        if (events > 0) {
            streamed = true
            charge(events.toLong())
        } else if (!streamed) {
            keepTail(data)
        }
    }

    /** Charges what is known only at the end. */
    fun onEnd(elapsedMs: Long) {
        when {
            request.pool.kind == PoolKind.SERVICE -> charge(maxOf(1, elapsedMs))
            !streamed -> charge(statedTokens())
        }
    }

    private fun charge(cost: Long) {
        charged += cost
        meter.add(endpoint.cell, request.workspace, cost)
    }

    private fun countEvents(data: ByteBuf): Int {
        var events = 0
        data.forEachByte { byte ->
            newLines = if (byte == NEW_LINE) newLines + 1 else 0
            if (newLines == 2) {
                events++
                newLines = 0
            }
            true
        }
        return events
    }

    private fun keepTail(data: ByteBuf) {
        val latest = ByteArray(minOf(TAIL_BYTES, data.readableBytes()))
        data.getBytes(data.writerIndex() - latest.size, latest)
        tail = (tail + latest).let { it.copyOfRange(maxOf(0, it.size - TAIL_BYTES), it.size) }
    }

    private fun statedTokens(): Long =
        COMPLETION_TOKENS.findAll(String(tail)).lastOrNull()?.groupValues?.get(1)?.toLong() ?: 1
}
