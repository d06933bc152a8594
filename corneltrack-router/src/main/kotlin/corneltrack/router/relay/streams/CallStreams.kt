package corneltrack.router.relay.streams

import corneltrack.policy.streams.StreamKey
import corneltrack.router.relay.RelayedCall
import corneltrack.wire.event
import org.apache.logging.log4j.LogManager
import java.nio.ByteBuffer
import java.security.MessageDigest

private val logger = LogManager.getLogger("corneltrack.router.relay.streams.CallStreams")

/** Records that an endpoint of [version] has made the first event that [call] gets. */
internal fun StreamControl.onFirstEvent(call: RelayedCall, version: String, nowMs: Long) {
    val stream = if (call.route.resumable) call.streamKey else null
    if (stream != null) onFirstEvent(stream, call.pool.id, version, call.times.callerDeadlineMs - nowMs)
}

/** Records that the whole response to [call] was delivered. */
internal fun StreamControl.onDelivered(call: RelayedCall) {
    val stream = if (call.streamVersion != null && call.route.resumable) call.streamKey else null
    if (stream != null) onDelivered(stream)
}

/** Decides at which endpoints the stream goes on that [call] takes up, and calls back once, maybe at once. */
internal fun StreamControl.onTakeUp(call: RelayedCall, onDecided: (StreamContinuation) -> Unit) =
    onTakeUp(call.streamKey, call.pool.id) { continuation ->
        logger.event("stream_taken_up") {
            field("request", call.id)
            field("pool", call.pool.id)
            field("stream", call.takesUp?.stream)
            field("continuation", continuation.label)
            field("version", (continuation as? StreamContinuation.At)?.version)
        }
        onDecided(continuation)
    }

/** Identifies the stream that the call begins or goes on with, or null where its caller has not named it. */
private val RelayedCall.streamKey: StreamKey?
    get() = (if (takesUp != null) takesUp.stream else requestId)?.let { id ->
        val workspaceBytes = workspace?.value.orEmpty().toByteArray()
        val sha = MessageDigest.getInstance("SHA-256")
        sha.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(workspaceBytes.size).array())
        sha.update(workspaceBytes)
        StreamKey(ByteBuffer.wrap(sha.digest(id.toByteArray())).long)
    }
