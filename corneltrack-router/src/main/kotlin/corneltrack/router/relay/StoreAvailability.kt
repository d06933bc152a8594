package corneltrack.router.relay

import corneltrack.policy.discovery.Clocks
import corneltrack.wire.event
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

private const val INITIAL_BACKOFF_MS = 100L
private const val MAXIMUM_BACKOFF_MS = 800L
private const val MAXIMUM_DOUBLINGS = 4

/** Covers a slow response, yet two calls in a row on unresponsive connections time out within a drain limit of 3 s. */
private const val INITIAL_TIMEOUT_MS = 500L
private const val MAXIMUM_TIMEOUT_MS = 2_000L

/**
 * The time without any answer of the store, to this router or its peers, that counts as an outage, in ms. Longer than the
 * interval between two answers, shorter than an outage in which entries of live endpoints expire.
 */
internal const val MINIMUM_OUTAGE_MS: Long = 2_000

// Keeps the former name of the class, which appears in log lines as logger=StoreWatch.
private val logger = LogManager.getLogger("corneltrack.router.relay.StoreWatch")

/** Tracks whether the store responds to the calls for one topic, and backs off while it does not. */
internal class StoreAvailability(private val topicName: String, private val clock: Clocks) {
    private var failures = 0

    /** When the store last recovered from an outage, in ms of the monotonic clock; null if no outage was seen. */
    var recoveredMs: Long? = null
        private set

    /** The timeout of the next call, in ms; doubles with each failure in a row up to a maximum. */
    val timeoutMs: Long
        get() = minOf(INITIAL_TIMEOUT_MS shl minOf(failures, MAXIMUM_DOUBLINGS), MAXIMUM_TIMEOUT_MS)

    /**
     * Records that a call got a response.
     *
     * @param unservedMs the time since the store is known to have served this router or a peer, in ms. A store that
     *   turned away only this router has had no outage, in which entries would have expired.
     */
    fun onResponse(unservedMs: Long) {
        if (failures > 0) {
            val outage = unservedMs >= MINIMUM_OUTAGE_MS
            if (outage) recoveredMs = clock().monotonicMs
            logger.event("topic_regained") {
                field("topic", topicName)
                field("failures", failures)
                field("unserved_ms", unservedMs)
                field("outage", outage)
            }
        }
        failures = 0
    }

    /** Records a failed call and returns the delay before the next one, in ms. */
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
