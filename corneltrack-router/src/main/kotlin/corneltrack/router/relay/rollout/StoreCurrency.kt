package corneltrack.router.relay.rollout

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Clocks
import corneltrack.router.relay.FollowedKeyedTopic
import corneltrack.wire.event
import org.apache.logging.log4j.LogManager

/** A pause of the event loop after which peers count the router as unresponsive, in ms. */
private const val SUSPENSION_MS = 1_500L
private val logger = LogManager.getLogger("corneltrack.router.relay.rollout.StoreCurrency")

/**
 * Tells whether this router knows which versions are in force: it does not after it was suspended, until it has read
 * the orders and the statuses as of a later time.
 *
 * A router that loses the store goes on by what it knows. It needs no such check when it regains a topic, since the
 * records read are applied before the next request is. Only used on the event loop.
 */
internal class StoreCurrency(
    operatorTopic: FollowedKeyedTopic,
    statusTopic: FollowedKeyedTopic,
    private val clock: Clocks,
) {
    private val followers = listOf(operatorTopic.follower, statusTopic.follower)
    private var resumedMs: Long? = null
    private var observedAt: ClockReading? = null

    val orders = TopicConfirmation(operatorTopic, clock)
    val statuses = TopicConfirmation(statusTopic, clock)

    /** Whether both topics have been read completely once. */
    val loaded: Boolean get() = orders.loaded && statuses.loaded

    /** Whether the versions in force are known. */
    val current: Boolean get() = loaded && resumedMs == null

    /** The time since the store is known to have served this router or a peer, in ms. */
    val unservedMs: Long get() = followers.minOf { it.unservedMs }

    /** Notices suspensions of this process; called before each decision and on a timer. */
    fun observe() {
        val now = clock()
        val pauseMs = observedAt?.let { now.since(it) } ?: 0
        observedAt = now
        if (pauseMs > SUSPENSION_MS) {
            resumedMs = now.monotonicMs
            logger.event("rollout_state_uncertain") { field("paused_ms", pauseMs) }
        }
        resumedMs?.let(::confirmSince)
    }

    private fun confirmSince(ms: Long) {
        val unconfirmed = listOf(orders, statuses).filterNot { it.covers(ms) }
        if (unconfirmed.isEmpty()) resumedMs = null else unconfirmed.forEach { it.request() }
    }
}
