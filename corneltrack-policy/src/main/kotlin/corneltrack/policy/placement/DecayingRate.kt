package corneltrack.policy.placement

import kotlin.math.exp

private const val MS_PER_SECOND = 1_000.0

/** Sums amounts with exponential decay, so that the sum divided by the time constant is the recent rate. */
internal class DecayingRate(private val timeConstantMs: Double) {
    private var amount = 0.0
    private var decayedMs = 0L

    fun add(added: Long, nowMs: Long) {
        decay(nowMs)
        amount += added
    }

    fun perSecond(nowMs: Long): Double {
        decay(nowMs)
        return amount * MS_PER_SECOND / timeConstantMs
    }

    private fun decay(nowMs: Long) {
        if (nowMs <= decayedMs) return
        amount *= exp((decayedMs - nowMs) / timeConstantMs)
        decayedMs = nowMs
    }
}
