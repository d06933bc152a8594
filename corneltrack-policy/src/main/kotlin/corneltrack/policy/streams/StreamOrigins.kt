package corneltrack.policy.streams

import corneltrack.world.PoolId

/** How long the record of a stream is kept after the stream was delivered whole, in ms; its end may still be lost. */
private const val DELIVERED_KEPT_MS = 2_000L

/** Far more streams than run at one router; callers choose the identifiers that the records are kept under. */
private const val MAXIMUM_STREAMS = 20_000

/** Identifies a stream: a hash of its workspace and of the id of the request that brought its first event. */
@JvmInline
public value class StreamKey(public val value: Long)

/**
 * Says which version of the endpoints' software began a stream.
 *
 * @property expiresMs when nobody can take the stream up any more, in ms since the epoch.
 */
public data class StreamOrigin(val pool: PoolId, val version: String, val expiresMs: Long)

/** Remembers which version began each stream that may still be taken up. Not thread-safe. */
public class StreamOrigins {
    private val origins = LinkedHashMap<StreamKey, StreamOrigin>()

    /** The streams that are remembered, those recorded first at the start. */
    public val all: Map<StreamKey, StreamOrigin> get() = origins

    /** Returns the origin of [stream], or null if it is not remembered. */
    public operator fun get(stream: StreamKey): StreamOrigin? = origins[stream]

    /** Records that [stream] has begun or goes on. The stream recorded first is forgotten for one too many. */
    public fun record(stream: StreamKey, origin: StreamOrigin) {
        origins.remove(stream)
        origins[stream] = origin
        if (origins.size > MAXIMUM_STREAMS) origins.remove(origins.keys.first())
    }

    /** Records that [stream] has been delivered whole, so that it hardly needs to be taken up. */
    public fun onDelivered(stream: StreamKey, nowMs: Long) {
        origins.computeIfPresent(stream) { _, origin ->
            origin.copy(expiresMs = minOf(origin.expiresMs, nowMs + DELIVERED_KEPT_MS))
        }
    }

    /** Forgets the streams that nobody can take up any more. */
    public fun expire(nowMs: Long) {
        origins.values.removeIf { it.expiresMs <= nowMs }
    }
}
