package corneltrack.policy.placement

import kotlin.math.exp

/** The time constant of the long-run mean, in ms; some tens of the slow periods that were observed, of 600 ms. */
private const val MEAN_TIME_CONSTANT_MS = 30_000.0

/** The longest time that one report counts for in the mean, in ms, and what the start value counts for. */
private const val MAXIMUM_WEIGHT_MS = 1_000.0
private const val START_WEIGHT_MS = 100.0

/** How many earlier reports a new one is compared with, and how far they are apart, in ms; they cover a second. */
private const val COMPARED_REPORTS = 10
private const val COMPARED_SPACING_MS = 100L

/**
 * Estimates a figure that an endpoint reports now and then, such as its pace: the last report, of which the less is
 * left the older it is, and the long-run mean. Not thread-safe.
 *
 * @param start the mean assumed before the first report.
 * @param correlation what a report is worth by its age.
 */
public class ReportedFigure(start: Double, private val correlation: ReportCorrelation) {
    private data class Report(val value: Double, val observedMs: Long)

    private var last: Report? = null
    private val compared = ArrayDeque<Report>()
    private var weightMs = START_WEIGHT_MS

    /** The long-run mean. */
    public var mean: Double = start
        private set

    /** Whether there has been a report. */
    public val known: Boolean get() = last != null

    /** Records a report; ignores one that is older than the last. Returns whether it is newer. */
    public fun onReport(value: Double, observedMs: Long): Boolean {
        val previousMs = last?.observedMs
        if (previousMs != null && observedMs <= previousMs) return false
        val gapMs = minOf(MAXIMUM_WEIGHT_MS, (observedMs - (previousMs ?: (observedMs - 1))).toDouble())
        weightMs = weightMs * exp(-gapMs / MEAN_TIME_CONSTANT_MS) + gapMs
        mean += (value - mean) * gapMs / weightMs
        compare(Report(value, observedMs))
        return true
    }

    private fun compare(report: Report) {
        last?.let { correlation.onPair(it.value - mean, report.value - mean, report.observedMs - it.observedMs) }
        compared.forEach {
            if (it !== last) {
                correlation.onPair(it.value - mean, report.value - mean, report.observedMs - it.observedMs)
            }
        }
        last = report
        val spaced = compared.lastOrNull()?.let { report.observedMs - it.observedMs >= COMPARED_SPACING_MS } ?: true
        if (spaced) compared.addLast(report)
        if (compared.size > COMPARED_REPORTS) compared.removeFirst()
    }

    /** Returns the age of the last report, in ms, or null if there was none. */
    public fun ageMs(nowMs: Long): Long? = last?.let { maxOf(0, nowMs - it.observedMs) }

    /** Returns what the figure is expected to be now. */
    public fun at(nowMs: Long): Double {
        val report = last ?: return mean
        return mean + correlation.worth(nowMs - report.observedMs) * (report.value - mean)
    }
}
