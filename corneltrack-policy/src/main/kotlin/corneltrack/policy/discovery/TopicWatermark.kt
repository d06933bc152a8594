package corneltrack.policy.discovery

import kotlinx.serialization.Serializable

/** The time by which a watermark may be late before the next router takes over the polling, in ms. */
private const val TAKEOVER_DELAY_MS = 400L

/** The time between the takeovers of two routers, in ms; long enough for the watermark of the first one to arrive. */
private const val TAKEOVER_STAGGER_MS = 100L
private const val MAXIMUM_STAGGERED_RANK = 6

/** Stands for an age that is not known, in ms: older than any copy that a router has confirmed itself. */
private const val UNKNOWN_AGE_MS = Long.MAX_VALUE / 4

/**
 * Describes to peers how far and how recently a router has read a topic of the store.
 *
 * A peer needs to read the topic itself only if the watermark shows a change that the peer does not have.
 *
 * @property nextOffset the offset of the next record to read.
 * @property lastChangeEnd the offset after the last record that changed the state; later ones are heartbeats.
 * @property ageMs the age of the router's cached state, in ms.
 * @property asOfWallClockMs the time up to which the router has read all records, in ms since the epoch.
 * @property storeRecoveredAgeMs the time since the store last became available again to the router, in ms; null if it
 *   was always available.
 * @property era the era of the offsets; [StoreEra.UNSTATED] in watermarks of routers that do not report it.
 */
@Serializable
public data class TopicWatermark(
    val nextOffset: Long,
    val lastChangeEnd: Long,
    val ageMs: Long,
    val asOfWallClockMs: Long,
    val storeRecoveredAgeMs: Long? = null,
    val era: StoreEra = StoreEra.UNSTATED,
) {
    /** The position of the next record to read. */
    val next: TopicPosition get() = TopicPosition(era, nextOffset)

    /** The position after the last record that changed the state. */
    val lastChange: TopicPosition get() = TopicPosition(era, lastChangeEnd)

    /**
     * Returns the time up to which a router that has read up to [lastChangeEnd] knows all records, if this watermark
     * arrives at [now].
     *
     * The watermark may have been delayed on its way, so the larger of [ageMs] and its age by the wall clock counts.
     * This proves nothing where the wall clock of the sender is ahead: see [delayedBy] for peers that echo stamps.
     */
    public fun asOf(now: ClockReading): ClockReading = now.plus(-maxOf(ageMs, now.wallClockMs - asOfWallClockMs))

    /**
     * Returns this watermark, which arrives at [now], with its age at the arrival by [delayMs] instead of by the wall
     * clocks of two machines.
     *
     * The result says the same of positions. Its age is one that confirms nothing if [delayMs] is null: the peer could
     * prove the age and does not, as after its start or after losses, and does so with one of its next watermarks.
     *
     * @param delayMs the time that the watermark was under way at most, in ms (see [ClockEchoes]); null if not known.
     */
    public fun delayedBy(delayMs: Long?, now: ClockReading): TopicWatermark {
        val arrivalAgeMs = delayMs?.let { ageMs.coerceIn(0, UNKNOWN_AGE_MS) + it } ?: UNKNOWN_AGE_MS
        return copy(ageMs = arrivalAgeMs, asOfWallClockMs = now.wallClockMs - arrivalAgeMs)
    }
}

/**
 * Returns the age of the cached state, in ms, at which a router polls a topic although a peer is expected to do so.
 *
 * Saves calls of the store, which are billed: one router of a region polls the topic and sends watermarks to its peers.
 * If these stop, the others take over, staggered by rank, so that they need not agree on who polls.
 *
 * @param intervalMs the polling interval of the router that polls, in ms.
 * @param rank the number of live routers of the region that precede this one; the router of rank 0 polls.
 */
public fun takeoverAgeMs(intervalMs: Long, rank: Int): Long =
    intervalMs + TAKEOVER_DELAY_MS + TAKEOVER_STAGGER_MS * minOf(rank, MAXIMUM_STAGGERED_RANK)
