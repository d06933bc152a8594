package corneltrack.router.relay.streams

import corneltrack.router.relay.RelayedCall
import corneltrack.wire.event
import org.apache.logging.log4j.LogManager

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
