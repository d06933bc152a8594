package corneltrack.policy

import corneltrack.world.EndpointId
import kotlinx.serialization.Serializable

/** The crashes without an answer in between that a part must have been present at before it is refused. */
private const val CRASHES_TO_QUARANTINE = 3

/** The time within which these crashes must lie, in ms. */
private const val CRASH_WINDOW_MS = 60_000L

/** How long a part is refused after the last crash that it was present at, in ms. */
private const val QUARANTINE_MS = 60_000L

/**
 * The crash of an incarnation of an endpoint, as seen by one router.
 *
 * @property startedAtMs when the incarnation started, so that several reports of its crash count once.
 * @property parts the parts of prompts that the endpoint was about to answer for this router.
 * @property atMs when the crash was seen, by the reporter's clock, in ms since the epoch.
 */
@Serializable
public data class CrashReport(
    val endpoint: EndpointId,
    val startedAtMs: Long,
    val parts: Set<Long>,
    val atMs: Long,
)

/** States that a prompt with [part] was being answered at [atMs], in ms since the epoch, and its endpoint went on. */
@Serializable
public data class PartAnswered(val part: Long, val atMs: Long)

/**
 * Finds the part that prompts have in common which crash every endpoint that begins to answer them.
 *
 * No two of these prompts are alike, and each shares its other parts with prompts that do no harm. A part is refused
 * once several incarnations of endpoints crashed as they were about to answer prompts with it, and no prompt with it
 * was answered in between; each answer clears it. Not thread-safe.
 */
public class PartQuarantine {
    private data class Crash(val endpoint: EndpointId, val startedAtMs: Long)

    private val crashes = HashMap<Long, MutableMap<Crash, Long>>()

    /** Whether no part is suspected. */
    public val isEmpty: Boolean get() = crashes.isEmpty()

    /** Records a crash seen by any router. Returns the parts that are refused because of it and were not before. */
    public fun onCrash(report: CrashReport, nowMs: Long): Set<Long> {
        expire(nowMs)
        val before = report.parts.filterTo(HashSet()) { isQuarantined(it, nowMs) }
        report.parts.forEach { part ->
            crashes.getOrPut(part) { HashMap() }.merge(Crash(report.endpoint, report.startedAtMs), report.atMs, ::minOf)
        }
        return report.parts.filterTo(HashSet()) { it !in before && isQuarantined(it, nowMs) }
    }

    /** Clears the part of the crashes before it was answered. Returns whether it was suspected of any. */
    public fun onAnswered(answered: PartAnswered): Boolean {
        val suspected = crashes[answered.part] ?: return false
        val cleared = suspected.values.removeIf { it <= answered.atMs }
        if (suspected.isEmpty()) crashes -= answered.part
        return cleared
    }

    /** Returns the first of [parts] that is refused, or null. */
    public fun refusedPart(parts: Collection<Long>, nowMs: Long): Long? =
        if (isEmpty) null else parts.firstOrNull { isQuarantined(it, nowMs) }

    private fun isQuarantined(part: Long, nowMs: Long): Boolean {
        val times = crashes[part]?.values ?: return false
        return times.size >= CRASHES_TO_QUARANTINE && nowMs - times.max() < QUARANTINE_MS
    }

    private fun expire(nowMs: Long) {
        crashes.values.removeIf { crash -> nowMs - crash.values.max() >= CRASH_WINDOW_MS }
    }
}
