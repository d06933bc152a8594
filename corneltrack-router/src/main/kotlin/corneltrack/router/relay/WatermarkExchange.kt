package corneltrack.router.relay

import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.SuspensionDetector
import corneltrack.policy.discovery.TopicWatermark

private const val PERIOD_MS = 250L

/**
 * Decides when the region's routers are told how far this one knows the store, and takes in what they tell.
 *
 * What may have waited during a suspension of this machine tells nothing of how fresh the store's records are.
 */
internal class WatermarkExchange(private val clock: Clocks, private val followers: () -> List<TopicFollower>) {
    private val suspensions = SuspensionDetector()
    private var sentMs = 0L
    private var sentChanges: Map<String, Long> = emptyMap()

    /** Returns the watermarks to send now by topic: at once where something changed, else periodically. */
    fun due(): Map<String, TopicWatermark> {
        val now = clock()
        suspensions.isSettled(now)
        val watermarks = followers().mapNotNull { topic -> topic.watermark()?.let { topic.name to it } }.toMap()
        val changes = watermarks.mapValues { it.value.changed }
        if (changes == sentChanges && now.monotonicMs - sentMs < PERIOD_MS) return emptyMap()
        sentChanges = changes
        sentMs = now.monotonicMs
        return watermarks
    }

    /** Takes in a peer's [watermarks] by topic. */
    fun onPeer(watermarks: Map<String, TopicWatermark>) {
        if (watermarks.isEmpty() || !suspensions.isSettled(clock())) return
        followers().forEach { topic -> watermarks[topic.name]?.let(topic::onWatermark) }
    }
}
