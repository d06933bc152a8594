package corneltrack.router.relay.rollout

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.TopicPosition
import corneltrack.policy.discovery.TopicWatermark
import corneltrack.router.relay.FollowedKeyedTopic
import corneltrack.router.relay.TopicResponse

private const val TIMEOUT_MS = 1_000L

/** The minimum time between two confirmations, in ms, since each call of the store is billed. */
private const val MINIMUM_INTERVAL_MS = 200L

/**
 * Establishes that a topic has been read completely as of a given time, without waiting for the follower's long poll,
 * which may last 10 s. Only used on the event loop.
 */
internal class TopicConfirmation(private val followed: FollowedKeyedTopic, private val clock: Clocks) {
    private val follower = followed.follower
    private var confirmedAt: ClockReading? = null
    private var requestedMs: Long? = null
    private var pending = false

    /** The latest time as of which the topic has been read, in monotonic ms; null before the first read. */
    private val asOfMs: Long?
        get() = follower.asOf?.let { maxOf(it.monotonicMs, confirmedAt?.monotonicMs ?: Long.MIN_VALUE) }

    /** Whether the topic has been read completely once. */
    val loaded: Boolean get() = follower.asOf != null

    /** Whether the topic has been read as of [ms], in ms of the monotonic clock, or later. */
    fun covers(ms: Long): Boolean = asOfMs.let { it != null && it >= ms }

    /** Reads the end of the topic, unless that was done just before. */
    fun request() {
        val sentAt = clock()
        val recent = requestedMs.let { it != null && sentAt.monotonicMs - it < MINIMUM_INTERVAL_MS }
        if (pending || recent || !loaded) return
        pending = true
        requestedMs = sentAt.monotonicMs
        followed.topic.read(follower.end, 0, TIMEOUT_MS) { response ->
            pending = false
            when {
                response is TopicResponse.NewEra -> follower.onEra(response.era)
                response !is TopicResponse.Records -> Unit
                follower.end.reaches(response.end) -> confirmedAt = sentAt
                else -> readTo(response.end)
            }
        }
    }

    /** Has the follower read on to [end], the position after the topic's last record. */
    fun readTo(end: TopicPosition) {
        // One that has read so far would take this for a peer's word that there is nothing later.
        if (!follower.end.precedes(end)) return
        follower.onWatermark(TopicWatermark(end.offset, end.offset, 0, clock().wallClockMs, era = end.era))
    }
}
