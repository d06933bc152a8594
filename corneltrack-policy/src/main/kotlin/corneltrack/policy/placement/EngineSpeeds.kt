package corneltrack.policy.placement

import corneltrack.world.InstanceId

/** The time for which what a peer has learnt counts after its last digest, in ms: longer than an endpoint is unused. */
private const val PEER_SPEED_TIMEOUT_MS = 30_000L

/** What the pool's mean counts for beside what is known of the engine itself, in samples. */
private const val POOL_SAMPLES = 2

/**
 * Holds what one router has learnt of the speed of an engine.
 *
 * @property prefill the prefill time of one prompt token, in ms.
 * @property decode the time between two tokens of one stream, in ms.
 */
public data class EngineSpeeds(val prefill: LearntSpeed, val decode: LearntSpeed)

/**
 * Holds the mean speeds of the engines of a pool, from which an engine without samples starts.
 *
 * Inert until an engine of the pool has stated its pace: engines are then assumed to differ. Not thread-safe.
 */
public class PoolSpeeds {
    internal val prefill = PoolMean()
    internal val decode = PoolMean()

    /** Whether the speeds are shared, among the engines of the pool and with peers. */
    public var shared: Boolean = false
        private set

    /** Returns the weight of the next sample of [speed]; if speeds are shared, the first replaces the start value. */
    internal fun weight(speed: LearntSpeed, smoothing: Double): Double =
        if (shared) speed.nextWeight(smoothing) else smoothing

    /** Records that an engine of the pool has stated its pace. */
    public fun onPaceStated() {
        shared = true
    }
}

/** Averages one speed over the engines of which it is known. */
internal class PoolMean {
    private var sum = 0.0
    private var engines = 0

    /** The mean, or null if no engine's speed is known. */
    val value: Double? get() = if (engines == 0) null else sum / engines

    /** Replaces the speed of one engine; null for an unknown one. */
    fun replace(before: Double?, after: Double?) {
        sum += (after ?: 0.0) - (before ?: 0.0)
        engines += (if (after == null) 0 else 1) - (if (before == null) 0 else 1)
    }
}

/** Merges what this router and its peers have learnt of one speed of an engine. Not thread-safe. */
internal class SharedSpeed(private val poolMean: PoolMean, private val own: LearntSpeed) {
    private class PeerSpeed(val speed: LearntSpeed, val reportedMs: Long)

    private val peers = HashMap<InstanceId, PeerSpeed>()
    private var peerSum = 0.0
    private var peerSamples = 0
    private var known: Double? = null

    /** The mean of this router's and its peers' by samples, drawn a little to the pool's; null if nothing is known. */
    val value: Double?
        get() {
            val mean = poolMean.value ?: return null
            val samples = peerSamples + own.samples
            return (peerSum + own.value * own.samples + mean * POOL_SAMPLES) / (samples + POOL_SAMPLES)
        }

    fun onPeer(peer: InstanceId, speed: LearntSpeed, nowMs: Long) {
        peers[peer] = PeerSpeed(speed, nowMs)
        peers.values.removeIf { nowMs - it.reportedMs > PEER_SPEED_TIMEOUT_MS }
        peerSamples = peers.values.sumOf { it.speed.samples }
        peerSum = peers.values.sumOf { it.speed.value * it.speed.samples }
        onChange()
    }

    /** Records a sample of this router's own. */
    fun onSample(sample: Double, weight: Double, maximumSamples: Int) {
        own.onSample(sample, weight, maximumSamples)
        onChange()
    }

    /** Removes the engine from the pool's mean. */
    fun forget() {
        poolMean.replace(known, null)
        known = null
    }

    private fun onChange() {
        val samples = peerSamples + own.samples
        val current = if (samples == 0) null else (peerSum + own.value * own.samples) / samples
        poolMean.replace(known, current)
        known = current
    }
}
