package corneltrack.router.relay

import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.discovery.SuspensionDetector
import corneltrack.policy.discovery.TopicWatermark

/** The interval at which unchanged watermarks are sent again, in ms. */
private const val PERIOD_MS = 250L

/**
 * Decides when to send this router's watermarks to the peers of its region, and applies those of the peers.
 *
 * Ignores watermarks for a while after this machine was suspended: they may have been queued meanwhile and would make
 * the cached state look fresher than it is.
 */
internal class WatermarkExchange(private val clock: Clocks, private val followers: () -> List<TopicFollower>) {
    private val suspensions = SuspensionDetector()
    private var sentMs = 0L
    private var sentChanges: Map<String, Long> = emptyMap()

    /**
     * Returns the digests of [sender] to send now: after a change or periodically one with all watermarks, or one for
     * each batch of records if this router shares them, else none.
     */
    fun dueDigests(sender: String): List<PeerDigest> {
        val due = due()
        if (due.isEmpty()) return emptyList()
        val sharing = followers().filter { it.sharesRecords }
        val records = sharing.filter { it.name in due }.flatMap { topic ->
            topic.batches.map { SharedRecords(topic.name, it) }
        }
        val sent = records.ifEmpty { listOf(if (sharing.isEmpty()) null else SharedRecords()) }
        return sent.map { PeerDigest(sender, watermarks = due, records = it) }
    }

    /** Has all topics that are behind the newest era that one of them has reached ask the store about it. */
    fun alignEras() = followers().forEach { onEra(it.end.era) }

    private fun onEra(era: StoreEra) = followers().forEach { it.onEra(era) }

    private fun due(): Map<String, TopicWatermark> {
        val now = clock()
        suspensions.isSettled(now)
        val watermarks = followers().mapNotNull { topic -> topic.watermark?.let { topic.name to it } }.toMap()
        val changes = watermarks.mapValues { it.value.lastChangeEnd }
        if (changes == sentChanges && now.monotonicMs - sentMs < PERIOD_MS) return emptyMap()
        sentChanges = changes
        sentMs = now.monotonicMs
        return watermarks
    }

    /**
     * Applies the [watermarks] of [peer], by topic name.
     *
     * @param listed whether the store lists the peer in this region; only then its word about a new era counts.
     * @param records what the peer sent with them, or null if it shares no records or is not listed in the region.
     */
    fun onPeer(
        peer: String,
        watermarks: Map<String, TopicWatermark>,
        listed: Boolean,
        records: SharedRecords? = null,
    ) {
        if (watermarks.isEmpty() || !suspensions.isSettled(clock())) return
        if (listed) watermarks.values.forEach { onEra(it.era) }
        followers().forEach { topic ->
            watermarks[topic.name]?.let { topic.onWatermark(it, records.takeIf { topic.sharesRecords }, peer) }
        }
    }
}
