package corneltrack.router.relay

import corneltrack.policy.discovery.Confirmation
import corneltrack.wire.LogEvent
import corneltrack.wire.event
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

private val logger = LogManager.getLogger("corneltrack.router.relay.ViewCurrency")

/**
 * How current the copy of a topic is.
 *
 * @property ageMs the time since the copy is known to have been complete, in ms; null before the first complete read.
 * @property confirmation how that is known; null before the first complete read.
 */
internal data class ViewState(val ageMs: Long?, val confirmation: Confirmation?) {
    /** Adds this state to a log line, with the age as [ageField]. */
    fun addTo(line: LogEvent, ageField: String) {
        line.field(ageField, ageMs)
        line.field("confirmed_by", confirmation?.source?.name?.lowercase())
        line.field("confirmed_peer", confirmation?.peer)
        line.field("confirmed_offset", confirmation?.end?.offset)
        line.field("confirmed_era", confirmation?.end?.era)
    }
}

/** Returns how current the copy of this topic is. */
internal fun TopicFollower.viewState(): ViewState = ViewState(ageMs, confirmation)

/**
 * Logs when the copy of a topic becomes too old to say what the store lacks, and when it is current again.
 *
 * @property name the topic.
 * @param maximumAgeMs the age up to which the copy counts as current, in ms.
 * @param state returns how current the copy is.
 */
internal class ViewCurrency(val name: String, private val maximumAgeMs: Long, private val state: () -> ViewState) {
    /** The age of the copy when it was last found in doubt, in ms; null while it is current or was never complete. */
    private var doubtedAgeMs: Long? = null

    /** Logs a change since the last call. Calls [onDoubt] with the topic when the copy has come into doubt. */
    fun update(onDoubt: (topic: String) -> Unit) {
        val now = state()
        val ageMs = now.ageMs ?: return
        val before = doubtedAgeMs
        val doubted = ageMs > maximumAgeMs
        doubtedAgeMs = ageMs.takeIf { doubted }
        if (doubted && before == null) {
            onDoubt(name)
            logger.event("view_in_doubt", Level.WARN) { describe(now) }
        } else if (!doubted && before != null) {
            logger.event("view_current") {
                describe(now)
                field("oldest_ms", before)
            }
        }
    }

    private fun LogEvent.describe(now: ViewState) {
        field("topic", name)
        now.addTo(this, "age_ms")
    }
}
