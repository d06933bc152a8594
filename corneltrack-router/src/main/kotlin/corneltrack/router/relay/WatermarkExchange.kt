package corneltrack.router.relay

import corneltrack.policy.discovery.ClockEchoes
import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.StampEcho
import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.discovery.SuspensionDetector
import corneltrack.policy.discovery.TopicWatermark
import kotlin.random.Random

/** The interval at which unchanged watermarks are sent again, in ms. */
private const val PERIOD_MS = 250L

/** Large enough that the stamps of two processes of a router differ, and small enough for six bytes on the wire. */
private const val STAMP_RANGE = 1L shl 40

/**
 * Decides when to send this router's watermarks to the peers of its region, and applies those of the peers.
 *
 * The routers of a region send each other stamps and return them with their watermarks, so that each knows by its own
 * clock how long a watermark was under way at most. Those of a peer that returns none, an older version, count by the
 * wall clocks of the two machines. Those of a peer that returns stamps, but not yet one of this router, announce
 * changes and confirm nothing: with 30 routers each gets a stamp from each other one every half second, so that one of
 * the next watermarks is proven, and a router whose copy is overdue until then reads the store.
 *
 * Ignores watermarks for a while after this machine was suspended: they may have been queued meanwhile and would make
 * the cached state look fresher than it is.
 */
internal class WatermarkExchange(
    private val clock: Clocks,
    private val echoes: ClockEchoes = ClockEchoes(Random.nextLong(1, STAMP_RANGE)),
    private val followers: () -> List<TopicFollower>,
) {
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

    /** Returns the stamp to send now to the peers of the region. */
    fun stamp(): Long = echoes.stamp(clock())

    /** Returns what to return to [peer] with the digests that [dueDigests] returned last. */
    fun echo(peer: String): StampEcho = echoes.echo(peer, sentMs)

    /**
     * Applies the watermarks and the stamp in the [digest] of a peer.
     *
     * @param listed whether the store lists the peer in this region; only then its word about a new era, its records
     *   and its stamp count.
     */
    fun onPeer(digest: PeerDigest, listed: Boolean) {
        val now = clock()
        if (listed) echoes.onStamp(digest.sender, digest.stamp, now.monotonicMs)
        if (digest.watermarks.isEmpty() || !suspensions.isSettled(now)) return
        if (listed) digest.watermarks.values.forEach { onEra(it.era) }
        val records = digest.records?.takeIf { listed }
        followers().forEach { topic ->
            val watermark = digest.watermarks[topic.name] ?: return@forEach
            val proven = digest.echo?.let { watermark.delayedBy(echoes.maximumDelayMs(it, now), now) } ?: watermark
            topic.onWatermark(proven, records.takeIf { topic.sharesRecords }, digest.sender)
        }
    }
}
