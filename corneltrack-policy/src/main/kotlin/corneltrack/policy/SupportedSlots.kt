package corneltrack.policy

import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.pow

private const val CURVE_EXPONENT = 4
private const val ROUNDING_TOLERANCE = 1e-9

/**
 * Returns how many of [limit] slots an allocator may lend while [supporters] of [listed] routers support it.
 *
 * A router supports one allocator at a time, so allocators that are active at the same time have disjoint supporters.
 * The function is superadditive: however the routers are divided among allocators, the results add up to at most
 * [limit]. It favours the majority, so that the loss of a few routers costs almost no capacity.
 *
 * @return the number of slots, from 0 to [limit].
 */
public fun supportedSlots(limit: Int, supporters: Int, listed: Int): Int {
    if (supporters <= 0) {
        return 0
    }
    val share = (supporters.toDouble() / listed).coerceAtMost(1.0)
    val sharePower = share.pow(CURVE_EXPONENT)
    val slots = limit * sharePower / (sharePower + (1 - share).pow(CURVE_EXPONENT))
    val rounded = if (supporters * 2 > listed) ceil(slots - ROUNDING_TOLERANCE) else floor(slots + ROUNDING_TOLERANCE)
    return rounded.toInt().coerceIn(0, limit)
}
