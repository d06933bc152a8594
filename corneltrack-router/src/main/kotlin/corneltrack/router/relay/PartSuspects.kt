package corneltrack.router.relay

import corneltrack.policy.CrashReport
import corneltrack.policy.PartAnswered
import corneltrack.policy.PartQuarantine
import corneltrack.wire.event
import org.apache.logging.log4j.LogManager

/** The datagrams that carry each report; makes up for lost ones. */
private const val REPORT_COPIES = 3

/** Bounds the reports that wait to be sent; the oldest are dropped. */
private const val MAXIMUM_WAITING_REPORTS = 256
private val logger = LogManager.getLogger("corneltrack.router.relay.PartSuspects")

/**
 * Refuses prompts with a part under which endpoints crash, as this router and its peers have seen.
 *
 * Reports to the peers wait for the next digest, so that the end of an endpoint with many requests causes one datagram.
 * Confined to the event loop.
 *
 * @param wallClockMs returns the wall clock time, in ms since the epoch.
 */
internal class PartSuspects(private val wallClockMs: () -> Long) {
    private class Waiting<T>(val report: T) {
        var copies = REPORT_COPIES
    }

    private val quarantine = PartQuarantine()
    private val crashes = ArrayDeque<Waiting<CrashReport>>()
    private val answers = ArrayDeque<Waiting<PartAnswered>>()

    /** Records that the endpoint of [target] was lost before it had answered [call]. */
    fun onCrash(call: RelayedCall, target: Target) {
        val parts = call.generation?.sharedParts.orEmpty().toSet()
        if (parts.isEmpty()) return
        val report = CrashReport(target.endpoint.id, target.state.startedAtMs, parts, wallClockMs())
        logger.event("parts_suspected") {
            field("request", call.id)
            field("endpoint", report.endpoint)
            field("parts", parts.joinToString(",", transform = ::partName))
        }
        record(report)
        crashes.enqueue(report)
    }

    /** Records that an endpoint goes on answering [call] after its first event. */
    fun onAnswered(call: RelayedCall) {
        if (quarantine.isEmpty) return
        call.generation?.sharedParts.orEmpty().forEach { part ->
            val answered = PartAnswered(part, wallClockMs())
            if (record(answered)) answers.enqueue(answered)
        }
    }

    /** Records the reports of a peer. */
    fun onPeer(digest: PeerDigest) {
        digest.crashes.forEach(::record)
        digest.answered.forEach(::record)
    }

    /** Whether [call] has a part that is refused. */
    fun isRefused(call: RelayedCall): Boolean {
        val parts = if (quarantine.isEmpty) null else call.generation?.sharedParts
        return parts != null && quarantine.refusedPart(parts, wallClockMs()) != null
    }

    /** Returns the reports that are due to all peers, or null if there are none. */
    fun dueReports(sender: String): PeerDigest? {
        val digest = PeerDigest(sender, crashes = crashes.takeDue(), answered = answers.takeDue())
        return digest.takeIf { it.crashes.isNotEmpty() || it.answered.isNotEmpty() }
    }

    private fun record(report: CrashReport) = quarantine.onCrash(report, wallClockMs()).forEach { part ->
        logger.event("part_quarantined") {
            field("part", partName(part))
            field("endpoint", report.endpoint)
            field("age_ms", wallClockMs() - report.atMs)
        }
    }

    private fun record(answered: PartAnswered): Boolean {
        val cleared = quarantine.onAnswered(answered)
        if (cleared) logger.event("part_cleared") { field("part", partName(answered.part)) }
        return cleared
    }

    private fun <T> ArrayDeque<Waiting<T>>.enqueue(report: T) {
        if (size >= MAXIMUM_WAITING_REPORTS) removeFirst()
        addLast(Waiting(report))
    }

    private fun <T> ArrayDeque<Waiting<T>>.takeDue(): List<T> {
        forEach { it.copies-- }
        val due = map { it.report }
        removeAll { it.copies == 0 }
        return due
    }
}

private fun partName(part: Long): String = java.lang.Long.toHexString(part)
