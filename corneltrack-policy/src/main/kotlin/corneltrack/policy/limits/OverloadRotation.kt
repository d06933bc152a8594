package corneltrack.policy.limits

/** The lag of the event loop above which a router counts as late, in ms; longer than a garbage collection pause. */
private const val LATE_LAG_MS = 150L

/** A router that was late for less than this has only paused, in ms. */
private const val PAUSE_MS = 300L

/** How long a router that has only paused is out, in ms; load balancers do not act on one failed check. */
private const val RETURN_AFTER_PAUSE_MS = 500L

/**
 * How long a router has not been late when it returns, in ms. Beyond the time that the load balancer needs to notice a
 * return, a longer wait leaves idle what could serve a part of the flood.
 */
private const val RETURN_AFTER_MS = 1_000L

/** The longest addition to [RETURN_AFTER_MS], in ms, so that routers do not return at the same time. */
private const val RETURN_SPREAD_MS = 500L

/** The part of a data centre's routers that may be out of rotation at once; one may always be. */
private const val MAXIMUM_OUT_FRACTION = 0.25

/** The part of the routers that must be known to read their requests in time, this one not counted. */
private const val MINIMUM_IDLE_FRACTION = 0.5

/** How long too few peers must have been idle for a router to return that is still late, in ms. */
private const val PEERS_LATE_BEFORE_RETURN_MS = 1_000L

/** The part of its time that a router may be out of rotation. */
private const val OUT_TIME_FRACTION = 0.125

/** The out-of-rotation time that a router saves up, in ms. */
private const val MAXIMUM_OUT_MS = 10_000.0

/** The saved time without which leaving would not be noticed by the load balancer, in ms. */
private const val MINIMUM_USEFUL_OUT_MS = 3_000.0

/**
 * The last report of a router on its own load.
 *
 * @property lagMs the lag of its event loop.
 * @property inRotation whether new connections of callers should reach it.
 */
public data class RotationReport(val lagMs: Long, val inRotation: Boolean)

/**
 * Describes the routers of a data centre as one of them knows them.
 *
 * @property routers the routers that are listed, this one included.
 * @property idlePeers the peers known to be in rotation and to read their requests in time.
 * @property outOfRotation the peers known to be out of rotation, and those that have not been heard lately.
 * @property latePeersBefore the late peers in rotation that have precedence in leaving it.
 */
public data class RotationPeers(
    val routers: Int,
    val idlePeers: Int,
    val outOfRotation: Int,
    val latePeersBefore: Int,
)

/**
 * Summarizes what router [own] knows of its peers.
 *
 * @param listed how many routers the data centre has, this one included.
 * @param reports the peers' reports; silent peers are missing.
 */
public fun <Id : Comparable<Id>> rotationPeers(
    own: Id,
    listed: Int,
    reports: Map<Id, RotationReport>,
): RotationPeers {
    val inRotation = reports.filterValues { it.inRotation }
    val late = inRotation.filterValues { it.lagMs > LATE_LAG_MS }
    return RotationPeers(
        routers = listed,
        idlePeers = inRotation.size - late.size,
        outOfRotation = listed - 1 - inRotation.size,
        latePeersBefore = late.keys.count { it < own },
    )
}

/**
 * Decides when an overloaded router leaves the rotation of the load balancer, so that new connections reach its peers.
 *
 * Meant for a flood whose callers all reach one router while its peers are idle. Under an overload of the whole data
 * centre no router leaves, since the others could not take its callers. A router that knows too little of its peers
 * stays. Not thread-safe.
 *
 * @param spread a number in 0..1 that differs between routers.
 */
public class OverloadRotation(private val spread: Double) {
    private var lateSinceMs: Long? = null
    private var lastLateMs: Long? = null
    private var returnAtMs = Long.MIN_VALUE
    private var peersIdleAtMs = Long.MIN_VALUE / 2
    private var savedOutMs = MAXIMUM_OUT_MS
    private var updatedMs: Long? = null

    /** Whether new connections of callers should reach this router. */
    public var inRotation: Boolean = true
        private set

    /** Decides again, with the present [lagMs] of the event loop. Returns whether [inRotation] has changed. */
    public fun update(lagMs: Long, peers: RotationPeers, nowMs: Long): Boolean {
        accountTime(nowMs)
        recordLag(lagMs, nowMs)
        val before = inRotation
        inRotation = !shouldBeOut(peers, nowMs)
        return inRotation != before
    }

    private fun accountTime(nowMs: Long) {
        val elapsedMs = (nowMs - (updatedMs ?: nowMs)).toDouble()
        updatedMs = nowMs
        val change = if (inRotation) OUT_TIME_FRACTION * elapsedMs else -elapsedMs
        savedOutMs = minOf(MAXIMUM_OUT_MS, savedOutMs + change)
    }

    /** A pause puts the return off by a little only, also for a router that is out for another reason. */
    private fun recordLag(lagMs: Long, nowMs: Long) {
        if (lagMs > LATE_LAG_MS) {
            val sinceMs = lateSinceMs ?: nowMs
            lateSinceMs = sinceMs
            lastLateMs = nowMs
            returnAtMs = maxOf(returnAtMs, nowMs + returnAfterMs(paused = nowMs - sinceMs < PAUSE_MS))
        } else if (lastLateMs?.let { nowMs - it > RETURN_AFTER_PAUSE_MS } ?: false) {
            lateSinceMs = null
        }
    }

    private fun returnAfterMs(paused: Boolean): Long =
        if (paused) RETURN_AFTER_PAUSE_MS else RETURN_AFTER_MS + (spread * RETURN_SPREAD_MS).toLong()

    private fun shouldBeOut(peers: RotationPeers, nowMs: Long): Boolean {
        val peersIdle = peers.idlePeers >= MINIMUM_IDLE_FRACTION * peers.routers
        if (peersIdle) peersIdleAtMs = nowMs
        return if (inRotation) peersIdle && shouldLeave(peers, nowMs) else shouldStayOut(nowMs)
    }

    private fun shouldLeave(peers: RotationPeers, nowMs: Long): Boolean {
        val maximumOut = maxOf(1, (peers.routers * MAXIMUM_OUT_FRACTION).toInt())
        val isTurn = peers.outOfRotation + peers.latePeersBefore < maximumOut
        return isTurn && savedOutMs >= MINIMUM_USEFUL_OUT_MS && lastLateMs == nowMs
    }

    private fun shouldStayOut(nowMs: Long): Boolean {
        val peersIdleLately = nowMs - peersIdleAtMs < PEERS_LATE_BEFORE_RETURN_MS
        return savedOutMs > 0 && nowMs < returnAtMs && peersIdleLately
    }
}
