package corneltrack.policy.rollout

/** The share of its requests that a router sends to the target version during the trial. */
public const val TRIAL_SHARE: Double = 0.08

/** The time without news from the store or a peer after which a router ends its part of a trial, in ms. */
private const val TRIAL_SILENCE_MS = 1_000L

/** The time without news from a peer after which it counts as cut off, in ms; far peers are told less often. */
private const val PEER_SILENCE_MS = 3_000L

/**
 * Limits the trial requests of one router for one order to [share] of its own requests for the pool.
 *
 * The bound on the sum over all routers holds without agreement among them. Nothing may be sent in advance, except
 * that [firstCredit] makes up for rounding: with many routers that have few requests each, most would never reach
 * their first whole trial request.
 *
 * @param firstCredit a fraction of one request from 0 to below 1, from [firstTrialCredit]; 0 for a router that started
 *   after the order, since its earlier run may have used the credit.
 */
public class TrialShare(private val share: Double = TRIAL_SHARE, private val firstCredit: Double = 0.0) {
    /** The requests for the pool since the router learnt of the order, including retries and resumed streams. */
    public var requests: Long = 0
        private set

    /** The requests among [requests] that were sent to the target version. */
    public var taken: Long = 0
        private set

    /** Counts an attempt for the pool, to whatever version it goes; call it before [tryTake]. */
    public fun onRequest() {
        requests++
    }

    /** Returns whether the attempt last counted may go to the target version, and counts it there if so. */
    public fun tryTake(): Boolean {
        val allowed = taken + 1 <= share * requests + firstCredit
        if (allowed) taken++
        return allowed
    }
}

/**
 * Returns the fraction of a request that a router may send in advance, so that the shares of all routers are rounded
 * up at as many as they are rounded down at.
 *
 * @param position the router's position among all listed routers, from 0.
 * @param routers the number of listed routers.
 */
public fun firstTrialCredit(position: Int, routers: Int): Double =
    if (routers <= 1) 0.0 else position.toDouble() / routers

/**
 * Returns whether a router may send requests to the target version of a trial.
 *
 * A router that is cut off from the store and all peers cannot learn of a verdict, so it stops.
 *
 * @param lastHeardFromStoreOrPeerMs when the router last heard from the store or a peer, in ms of the clock of [nowMs].
 */
public fun mayTrial(lastHeardFromStoreOrPeerMs: Long, nowMs: Long): Boolean =
    nowMs - lastHeardFromStoreOrPeerMs <= TRIAL_SILENCE_MS

/**
 * Returns whether a router may send requests to the target version of a trial, given whom it hears.
 *
 * A part of the fleet that is cut off from the store and from half of its peers stops even if its routers hear each
 * other: it has too little evidence of its own, and does not learn of the verdict of the others.
 *
 * @param storeSilentMs the time since the router last heard from the store, in ms.
 * @param peersSilentMs the time since the router last heard from each listed peer, in ms.
 */
public fun mayTrial(storeSilentMs: Long, peersSilentMs: List<Long>): Boolean {
    val heard = peersSilentMs.count { it <= PEER_SILENCE_MS }
    val inContact = peersSilentMs.any { it <= TRIAL_SILENCE_MS } && 2 * heard >= peersSilentMs.size
    return storeSilentMs <= TRIAL_SILENCE_MS || inContact
}
