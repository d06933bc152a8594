package corneltrack.router

import corneltrack.policy.QueuedRequest
import corneltrack.router.callers.BodyContent
import corneltrack.router.callers.CompactHeaders
import corneltrack.router.callers.ResponseSink
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.Pool
import corneltrack.world.WorkspaceId
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion

/** The request to send to an endpoint, without the caller's credentials and hop-by-hop headers. */
internal data class OutgoingMessage(
    val method: HttpMethod,
    val path: String,
    val headers: CompactHeaders,
    val body: BodyContent,
) {
    override fun equals(other: Any?): Boolean = this === other

    override fun hashCode(): Int = System.identityHashCode(this)
}

/** Returns the HTTP request for [endpoint]; its engine buffers the response for resumption unless [stream] is null. */
internal fun OutgoingMessage.toHttpRequest(endpoint: Endpoint, stream: ResumableStream?): DefaultFullHttpRequest {
    val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, body.toByteBuf())
    headers.addTo(request.headers())
    request.headers().set(HttpHeaderNames.HOST, endpoint.address)
    stream?.let { request.headers().set(STREAM_HEADER, it.id) }
    if (body.size > 0) {
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.size)
    }
    return request
}

/**
 * The identity of a request.
 *
 * @property id the request id in logs and responses.
 * @property workspace the workspace that is charged for the request.
 * @property fingerprint the hash of workspace, method, path and body, which identifies repeats of a request.
 */
internal data class RequestIdentity(
    val id: String,
    val workspace: WorkspaceId,
    val pool: Pool,
    val fingerprint: String,
)

/** When a request arrived and the latest time at which it may start, in ms of the router's clock. */
internal data class RequestTimes(val arrivedMs: Long, val deadlineMs: Long)

/**
 * A caller's request and the state of its attempts.
 *
 * @property idempotent whether the request may safely run more than once; false for a request with an idempotency key,
 *   which runs at most once.
 */
internal class RoutedRequest(
    val identity: RequestIdentity,
    val times: RequestTimes,
    val idempotent: Boolean,
    val message: OutgoingMessage,
    val eventLoop: EventLoop,
    sink: ResponseSink,
) : QueuedRequest {
    /** Receives the response. */
    var sink: ResponseSink = sink
        private set

    override val workspace: WorkspaceId get() = identity.workspace
    override val arrivedMs: Long get() = times.arrivedMs
    override val deadlineMs: Long get() = times.deadlineMs
    val pool: Pool get() = identity.pool

    /** The endpoints of the attempts that have ended. */
    val triedEndpoints: MutableSet<EndpointId> = HashSet()

    @Volatile
    var attempts: Int = 0

    /** Whether an earlier attempt may have run. */
    @Volatile
    var mayHaveRun: Boolean = false

    /** The current attempt, or null if there is none. */
    @Volatile
    var attempt: Attempt? = null

    @Volatile
    var cancelled: Boolean = false

    /** Sends the response through [recording] from now on, which forwards it to the caller. */
    fun recordTo(recording: RecordingSink) {
        sink = recording
        recording.callerDisconnected = cancelled
    }

    /** Records that the caller has disconnected; the request continues to run. */
    fun onCallerDisconnected() {
        cancelled = true
        eventLoop.execute {
            (sink as? RecordingSink)?.callerDisconnected = true
            attempt?.onWritable(true)
        }
    }
}
