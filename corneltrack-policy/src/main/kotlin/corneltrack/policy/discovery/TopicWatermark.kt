package corneltrack.policy.discovery

import kotlinx.serialization.Serializable

/** The time that the next router lets pass before it reads in the place of one that fell silent, in ms. */
private const val TAKEOVER_DELAY_MS = 400L

/** The time between the turns of two routers, in ms; long enough for the first one's watermark to arrive. */
private const val TAKEOVER_STAGGER_MS = 100L
private const val MAXIMUM_STAGGERED_RANK = 6

/**
 * Says how far a router knows a topic of the store, so that its peers need not read what would tell them nothing.
 *
 * @property nextOffset the offset from which the router reads on.
 * @property lastChangeEnd the offset after the last record that lastChangeEnd what it says; those after it are mere heartbeats.
 * @property ageMs how old the router's knowledge is.
 * @property asOfWallClockMs the time of day up to which it knows all records, in ms since the epoch.
 * @property storeRecoveredAgeMs how long ago the store answered the router again after it had not, or null where it always
 *   did.
 */
@Serializable
public data class TopicWatermark(
    val nextOffset: Long,
    val lastChangeEnd: Long,
    val ageMs: Long,
    val asOfWallClockMs: Long,
    val storeRecoveredAgeMs: Long? = null,
) {
    /**
     * Returns the moment up to which a router that has read [lastChangeEnd] knows all records, when this arrives at [now].
     *
     * The watermark may have been on its way for some time: the older of what its age and the time of day say counts.
     */
    public fun asOf(now: ClockReading): ClockReading = now.plus(-maxOf(ageMs, now.wallClockMs - asOfWallClockMs))
}

/**
 * Returns the age, in ms, at which a router reads a topic itself though a peer is expected to.
 *
 * Answers a store whose calls are billed: one router of a region reads at the topic's pace and tells its peers. The
 * others take over in turn where its watermarks stop, so that no agreement is needed on who reads.
 *
 * @param intervalMs the time between two reads of the router that reads.
 * @param rank how many live routers of the region come before this one; that with rank 0 reads.
 */
public fun takeoverAgeMs(intervalMs: Long, rank: Int): Long = intervalMs + TAKEOVER_DELAY_MS + TAKEOVER_STAGGER_MS * minOf(rank, MAXIMUM_STAGGERED_RANK)
