package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
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
 * The time without any answer of the store, to this router or its peers, that counts as an outage, in ms. Longer than
 * the interval between two answers, shorter than an outage in which entries of live endpoints expire.
 */
internal const val MINIMUM_OUTAGE_MS: Long = 2_000

// Keeps the former name of the class, which appears in log lines as logger=StoreWatch.
private val logger = LogManager.getLogger("corneltrack.router.relay.StoreWatch")

/**
 * Tracks whether the store responds to the calls for one topic, and backs off while it does not.
 *
 * A store that turns away this router and serves a peer has had no outage, in which entries would have expired.
 */
internal class StoreAvailability(private val topicName: String, private val clock: Clocks) {
    private var failures = 0

    /** The latest time at which the store is known to have served this router or a peer, whatever it answered. */
    private var servedAt: ClockReading? = null

    /** When this router had loaded the topic for the first time, in ms of the monotonic clock. */
    private var loadedMs: Long? = null

    /** When the store last recovered from an outage, in ms of the monotonic clock; null if no outage was seen. */
    var recoveredMs: Long? = null
        private set

    /** The timeout of the next call, in ms; doubles with each failure in a row up to a maximum. */
    val timeoutMs: Long
        get() = minOf(INITIAL_TIMEOUT_MS shl minOf(failures, MAXIMUM_DOUBLINGS), MAXIMUM_TIMEOUT_MS)

    /** The time since [servedAt], in ms. */
    val unservedMs: Long get() = servedAt?.let { clock().since(it) } ?: Long.MAX_VALUE

    /** Records that all records of the topic have been loaded. */
    fun onLoaded() {
        if (loadedMs == null) loadedMs = clock().monotonicMs
    }

    /**
     * Records that the store served a peer at [servedAt].
     *
     * @param peerRecoveredMs when the store recovered for the peer, in ms of the monotonic clock, or null. Ignored if
     *   this router knows that the store was serving before.
     */
    fun onPeer(servedAt: ClockReading, peerRecoveredMs: Long?) {
        if (peerRecoveredMs != null) {
            val startedLater = loadedMs.let { it == null || it >= peerRecoveredMs }
            val outage = startedLater || unservedMs >= MINIMUM_OUTAGE_MS
            if (outage) recoveredMs = maxOf(recoveredMs ?: Long.MIN_VALUE, peerRecoveredMs)
        }
        recordServed(servedAt)
    }

    /** Records that a call got a response. */
    fun onResponse() {
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
        recordServed(clock())
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

    private fun recordServed(at: ClockReading) {
        val now = clock()
        if (servedAt.let { it == null || now.since(at) < now.since(it) }) servedAt = at
    }
}
