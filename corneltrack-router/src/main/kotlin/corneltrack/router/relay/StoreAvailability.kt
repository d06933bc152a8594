package corneltrack.router.relay

import corneltrack.policy.discovery.Clocks
import corneltrack.wire.event
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

private const val INITIAL_BACKOFF_MS = 100L
private const val MAXIMUM_BACKOFF_MS = 800L
private const val MAXIMUM_DOUBLINGS = 4

/** Long enough for a slow answer, short enough that two silent connections in a row fit a drain bound of 3 s. */
private const val INITIAL_TIMEOUT_MS = 500L
private const val MAXIMUM_TIMEOUT_MS = 2_000L
private val logger = LogManager.getLogger("corneltrack.router.relay.StoreWatch")

/** Tells whether the store answers the calls for one topic, and how long to wait for it where it does not. */
internal class StoreAvailability(private val topicName: String, private val clock: Clocks) {
    private var failures = 0

    /** When the store last answered again after it had not, in ms of the steady clock, or null where it always did. */
    var recoveredMs: Long? = null
        private set

    /** The time for the next call's answer, in ms; longer after each call that got none. */
    val timeoutMs: Long
        get() = minOf(INITIAL_TIMEOUT_MS shl minOf(failures, MAXIMUM_DOUBLINGS), MAXIMUM_TIMEOUT_MS)

    /** Notes an answer. */
    fun onResponse() {
        if (failures > 0) {
            recoveredMs = clock().monotonicMs
            logger.event("topic_regained") {
                field("topic", topicName)
                field("failures", failures)
            }
        }
        failures = 0
    }

    /** Notes a call without an answer and returns after how many ms to call again. */
    fun onFailure(reason: String, ageMs: Long?): Long {
        if (failures++ == 0) {
            logger.event("topic_lost", Level.WARN) {
                field("topic", topicName)
                field("reason", reason)
                field("age_ms", ageMs)
            }
        }
        return minOf(INITIAL_BACKOFF_MS shl minOf(failures - 1, MAXIMUM_DOUBLINGS), MAXIMUM_BACKOFF_MS)
    }
}
