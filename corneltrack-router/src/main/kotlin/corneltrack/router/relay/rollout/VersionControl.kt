package corneltrack.router.relay.rollout

import corneltrack.policy.discovery.KnownEndpoint
import corneltrack.policy.rollout.RolloutResponse
import corneltrack.router.relay.RelayedCall
import corneltrack.world.PoolId

/** Returns whether an endpoint may serve an attempt, as far as its version is concerned. */
internal typealias VersionFilter = (KnownEndpoint) -> Boolean

/**
 * A chance to send an attempt to the version on trial.
 *
 * @property filter the endpoints on trial.
 * @property take chooses among the eligible endpoints and takes the attempt from the router's share; null if there is
 *   no endpoint or no share left.
 */
internal class TrialChance(val filter: VersionFilter, val take: (eligible: List<KnownEndpoint>) -> KnownEndpoint?)

/**
 * Which endpoints an attempt may go to.
 *
 * @property trial tried first; null if the attempt may not go to a version on trial.
 * @property spare the endpoints that serve the attempt if no regular one can; null if none may.
 */
internal class AttemptVersions(
    val regular: VersionFilter,
    val trial: TrialChance? = null,
    val spare: VersionFilter? = null,
) {
    /** Returns those of [streamVersion], as events of different versions do not fit together; all if it is null. */
    fun continuing(streamVersion: String?): AttemptVersions {
        if (streamVersion == null) return this
        val made = { known: KnownEndpoint -> known.entry.version == streamVersion }
        return AttemptVersions({ made(it) && regular(it) }, spare = spare?.let { filter -> { made(it) && filter(it) } })
    }
}

/**
 * The fixed speeds that an endpoint's responses are compared with.
 *
 * @property serviceFactor the fixed service time over the endpoint's own.
 * @property prefillFactor the fixed prefill time of a token over the endpoint's own.
 * @property pauseMs the fixed time between two tokens.
 */
internal data class PoolPace(val serviceFactor: Double, val prefillFactor: Double, val pauseMs: Double)

/** Says which versions of a pool's endpoints get requests, and learns what became of them. */
internal interface VersionControl {
    /** Returns the endpoints for the next attempt of [call]. */
    fun forAttempt(call: RelayedCall, nowMs: Long): AttemptVersions

    /** Returns the endpoints of [pool] that are open to any request. */
    fun regular(pool: PoolId, nowMs: Long): VersionFilter

    /** Returns what the times of [chosen] are compared with, or null where no evidence is gathered. */
    fun pace(chosen: KnownEndpoint): PoolPace?

    /** Records that an attempt begins at an endpoint. */
    fun onBegin(pool: PoolId, version: String, nowMs: Long)

    /** Records that the request of an attempt is sent. */
    fun onSent(pool: PoolId, version: String)

    /** Records the response to an attempt, or its failure. */
    fun onResponse(pool: PoolId, response: RolloutResponse)

    /** Records that an attempt has ended, [elapsedMs] after its begin. */
    fun onEnd(pool: PoolId, version: String, elapsedMs: Long)

    /** Whether [version] is on trial, so that its crashes say nothing about requests. */
    fun isOnTrial(pool: PoolId, version: String): Boolean
}

/** All versions get requests, for deployments without roll-outs. */
internal object AllVersions : VersionControl {
    private val all = AttemptVersions({ true })

    override fun forAttempt(call: RelayedCall, nowMs: Long): AttemptVersions = all

    override fun regular(pool: PoolId, nowMs: Long): VersionFilter = all.regular

    override fun pace(chosen: KnownEndpoint): PoolPace? = null

    override fun onBegin(pool: PoolId, version: String, nowMs: Long) = Unit

    override fun onSent(pool: PoolId, version: String) = Unit

    override fun onResponse(pool: PoolId, response: RolloutResponse) = Unit

    override fun onEnd(pool: PoolId, version: String, elapsedMs: Long) = Unit

    override fun isOnTrial(pool: PoolId, version: String): Boolean = false
}
