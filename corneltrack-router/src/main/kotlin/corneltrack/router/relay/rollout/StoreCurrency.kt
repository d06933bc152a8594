package corneltrack.router.relay.rollout

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Clocks
import corneltrack.router.relay.FollowedKeyedTopic
import corneltrack.router.relay.MINIMUM_OUTAGE_MS
import corneltrack.wire.event
import org.apache.logging.log4j.LogManager

/** A pause of the event loop after which peers count the router as unresponsive, in ms. */
private const val SUSPENSION_MS = 1_500L
private val logger = LogManager.getLogger("corneltrack.router.relay.rollout.StoreCurrency")

/**
 * Tells whether this router knows which versions are in force: it does not after it was suspended or has regained the
 * store, until it has read the orders and the statuses as of a later time. Only used on the event loop.
 */
internal class StoreCurrency(
    private val operatorTopic: FollowedKeyedTopic,
    private val statusTopic: FollowedKeyedTopic,
    private val clock: Clocks,
) {
    /** @property untilStoreLost whether it ends when the store is lost again, as what is known then holds as before. */
    private data class Barrier(val fromMs: Long, val untilStoreLost: Boolean)

    private val followers = listOf(operatorTopic.follower, statusTopic.follower)
    private var barrier: Barrier? = null
    private var observedAt: ClockReading? = null
    private var recoveredMs: Long? = null

    val orders = TopicConfirmation(operatorTopic, clock)
    val statuses = TopicConfirmation(statusTopic, clock)

    /** Whether both topics have been read completely once. */
    val loaded: Boolean get() = orders.loaded && statuses.loaded

    /** Whether the versions in force are known. */
    val current: Boolean get() = loaded && barrier == null

    /** The time since the store is known to have served this router or a peer, in ms. */
    val unservedMs: Long get() = followers.minOf { it.unservedMs }

    /** Notices suspensions of this process and the store's recoveries; called before each decision and on a timer. */
    fun observe() {
        val now = clock()
        val pauseMs = observedAt?.let { now.since(it) } ?: 0
        observedAt = now
        val recovered = followers.mapNotNull { it.storeRecoveredMs }.maxOrNull()
        when {
            pauseMs > SUSPENSION_MS -> raise(Barrier(now.monotonicMs, untilStoreLost = false), pauseMs)
            recovered != null && recovered != recoveredMs -> raise(Barrier(recovered, untilStoreLost = true), pauseMs)
        }
        recoveredMs = recovered
        barrier?.let(::lower)
    }

    private fun raise(raised: Barrier, pauseMs: Long) {
        barrier = Barrier(raised.fromMs, raised.untilStoreLost && barrier?.untilStoreLost != false)
        logger.event("rollout_state_uncertain") {
            field("reason", if (raised.untilStoreLost) "store_regained" else "suspended")
            field("paused_ms", pauseMs)
        }
    }

    private fun lower(raised: Barrier) {
        val confirmed = orders.covers(raised.fromMs) && statuses.covers(raised.fromMs)
        if (confirmed || raised.untilStoreLost && unservedMs >= MINIMUM_OUTAGE_MS) {
            barrier = null
        } else {
            if (!orders.covers(raised.fromMs)) orders.request()
            if (!statuses.covers(raised.fromMs)) statuses.request()
        }
    }
}
