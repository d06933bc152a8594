package corneltrack.router.relay

import kotlin.random.Random

private const val REACTION_MS = 200L
private const val WRITTEN_WITHIN_MS = 1_500L

/** Operators and endpoints: they know what was acknowledged, and write again what [log] lost when it came back. */
internal class LostWriter(private val log: SimulatedLog, private val random: Random) {
    private val due = HashMap<String, Long>()
    val isDone get() = due.isEmpty()

    /** Learns that the store came back at [nowMs]; all that was lost is written again within 1.5 s. */
    fun onReturn(nowMs: Long) {
        val lost = log.losses.filterValues { it.writtenMs == null }.keys.sorted()
        due.clear()
        lost.forEach { due[it] = nowMs + random.nextLong(REACTION_MS, WRITTEN_WITHIN_MS) }
    }

    /** Writes what is due at [nowMs], unless something newer was written meanwhile. */
    fun advance(nowMs: Long) {
        due.filterValues { it <= nowMs }.keys.sorted().forEach { key ->
            due.remove(key)
            if (log.losses.getValue(key).writtenMs == null) log.putAgain(key)
        }
    }
}
