package corneltrack.router.relay

import corneltrack.policy.rollout.RolloutResponse
import corneltrack.router.relay.rollout.PoolPace
import corneltrack.router.relay.rollout.VersionControl

/** The shortest expected time to a response and between events, in ms; keeps ratios finite. */
private const val MINIMUM_EXPECTED_MS = 1.0

/** An observed time of less than the clock's resolution, in ms. */
private const val MINIMUM_OBSERVED_MS = 0.5

/**
 * The time within which the connections of an endpoint that ends are lost, in ms. Short, so that an endpoint that goes
 * on and breaks off some responses does not count as one that ends.
 */
private const val LOST_TOGETHER_MS = 50L

/** The part of the expected time to an engine's first event that does not depend on its speed, in ms. */
private const val ENGINE_OVERHEAD_MS = 25.0

/**
 * Reports one attempt as evidence about the version of its endpoint, with the observed times divided by those that the
 * pool's other endpoints would take. All times are in ms of the monotonic clock.
 */
internal class AttemptEvidence(
    private val call: RelayedCall,
    private val target: Target,
    private val versions: VersionControl,
) {
    private val pool = target.endpoint.pool
    private val version = target.version.name
    private var beganMs = 0L
    private var sentMs = 0L
    private var firstEventMs: Long? = null
    private var lastEventMs = 0L
    private var events = 0
    private var reported = false

    /** Records that the attempt begins. */
    fun onBegin(nowMs: Long) {
        beganMs = nowMs
        versions.onBegin(pool, version, nowMs)
    }

    /** Records that the request is sent. */
    fun onSent(nowMs: Long) {
        sentMs = nowMs
        versions.onSent(pool, version)
    }

    /** Records an event of the response. */
    fun onEvent(nowMs: Long) {
        events++
        if (firstEventMs == null) firstEventMs = nowMs
        lastEventMs = nowMs
    }

    /** Records a response that is no failure of the endpoint; its times count if it is [timed]. */
    fun onResponse(nowMs: Long, timed: Boolean) {
        val pace = target.version.pace.takeIf { timed }
        val ratio = pace?.let { firstRatio(it, firstEventMs ?: nowMs) }
        report(RolloutResponse(version, call.route.name, failed = false, ratio, pace?.let(::pauseRatio)))
    }

    /** Records a failure of the endpoint. */
    fun onFailure() = report(RolloutResponse(version, call.route.name, failed = true, null, null))

    /** Records that the connection was lost; requests that an endpoint loses together count as one failure. */
    fun onLost(nowMs: Long) {
        val together = target.state.lostMs.let { it != null && nowMs - it < LOST_TOGETHER_MS }
        target.state.lostMs = nowMs
        if (!together) onFailure()
    }

    /** Records that the attempt has ended. */
    fun onEnd(nowMs: Long) = versions.onEnd(pool, version, nowMs - beganMs)

    private fun report(response: RolloutResponse) {
        if (!reported) versions.onResponse(pool, response)
        reported = true
    }

    private fun firstRatio(pace: PoolPace, atMs: Long): Double {
        val engine = target.engineRequest != null
        val fixedMs = target.networkDelayMs + if (engine) ENGINE_OVERHEAD_MS else 0.0
        val factor = if (engine) pace.prefillFactor else pace.serviceFactor
        val expectedMs = fixedMs + (target.expected.waitMs - fixedMs) * factor
        return ratio((atMs - sentMs).toDouble(), expectedMs)
    }

    private fun pauseRatio(pace: PoolPace): Double? {
        val first = firstEventMs?.takeIf { events > 1 } ?: return null
        val expectedMs = pace.pauseMs * (call.pool.engine?.tokensPerEvent ?: 1)
        return ratio((lastEventMs - first).toDouble() / (events - 1), expectedMs)
    }
}

private fun ratio(observedMs: Double, expectedMs: Double) =
    maxOf(MINIMUM_OBSERVED_MS, observedMs) / maxOf(MINIMUM_EXPECTED_MS, expectedMs)
