package corneltrack.policy.placement

/** The maximum age of a report and the maximum number of prefixes in one digest; they bound a digest's size. */
private const val MAXIMUM_AGE_MS = 2_500L
private const val MAXIMUM_REPORTED = 48

/**
 * Keeps the shared prefixes that one engine has lately processed for this router until its peers have been told.
 *
 * Each peer receives a digest only now and then, and digests get lost, so that a report goes out several times. Not
 * thread-safe.
 */
public class PrefixReports {
    private data class Report(val prefixHash: Long, val confirmedMs: Long)

    private val reports = ArrayDeque<Report>()

    /** Adds the prefixes with [prefixHashes], which the engine has processed by now. */
    public fun add(prefixHashes: List<Long>, nowMs: Long) {
        prefixHashes.forEach { reports.addLast(Report(it, nowMs)) }
        while (reports.isNotEmpty() && isOutdated(reports.first(), nowMs)) reports.removeFirst()
    }

    /** Whether no digest will hold [report], the oldest one. */
    private fun isOutdated(report: Report, nowMs: Long): Boolean =
        nowMs - report.confirmedMs > MAXIMUM_AGE_MS || reports.size > MAXIMUM_REPORTED

    /** Returns the prefixes that were added after [sinceMs], at most the newest [MAXIMUM_REPORTED]. */
    public fun since(sinceMs: Long): List<Long> =
        reports.takeLastWhile { it.confirmedMs > sinceMs }.takeLast(MAXIMUM_REPORTED).map { it.prefixHash }
}
