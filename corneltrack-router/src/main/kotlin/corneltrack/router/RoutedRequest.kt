package corneltrack.router

import corneltrack.policy.QueuedRequest
import corneltrack.router.callers.ResponseSink
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.Pool
import corneltrack.world.WorkspaceId
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion

/** What is sent to an endpoint: the caller's request without its secrets and connection headers. */
internal data class OutgoingMessage(
    val method: HttpMethod,
    val path: String,
    val headers: HttpHeaders,
    val body: ByteArray,
) {
    override fun equals(other: Any?): Boolean = this === other

    override fun hashCode(): Int = System.identityHashCode(this)
}

/** Returns this message for [endpoint]; its engine keeps the answer as [stream], unless that is null. */
internal fun OutgoingMessage.toHttpRequest(endpoint: Endpoint, stream: ResumableStream?): DefaultFullHttpRequest {
    val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body))
    request.headers().set(headers)
    request.headers().set(HttpHeaderNames.HOST, endpoint.address)
    stream?.let { request.headers().set(STREAM_HEADER, it.id) }
    if (body.isNotEmpty()) {
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.size)
    }
    return request
}

/** Names a request and who pays for it. */
internal data class RequestIdentity(
    val id: String,
    val workspace: WorkspaceId,
    val pool: Pool,
    val fingerprint: String,
)

/** Bounds when a request may start, in ms of the router's clock. */
internal data class RequestTimes(val arrivedMs: Long, val deadlineMs: Long)

/** One caller's request on its way through the router. */
internal class RoutedRequest(
    val identity: RequestIdentity,
    val times: RequestTimes,
    val idempotent: Boolean,
    val message: OutgoingMessage,
    val eventLoop: EventLoop,
    sink: ResponseSink,
) : QueuedRequest {
    /** Where the answer goes. */
    var sink: ResponseSink = sink
        private set

    override val workspace: WorkspaceId get() = identity.workspace
    override val arrivedMs: Long get() = times.arrivedMs
    override val deadlineMs: Long get() = times.deadlineMs
    val pool: Pool get() = identity.pool

    /** The endpoints that have already failed this request. */
    val triedEndpoints: MutableSet<EndpointId> = HashSet()

    @Volatile
    var attempts: Int = 0

    /** Whether an earlier attempt may have run. */
    @Volatile
    var mayHaveRun: Boolean = false

    /** The cancel action of the attempt under way. */
    @Volatile
    var attempt: Attempt? = null

    @Volatile
    var cancelled: Boolean = false

    /** Lets [recording] see the answer on its way to the caller. */
    fun recordTo(recording: RecordingSink) {
        sink = recording
        recording.callerDisconnected = cancelled
    }

    /** Notes that the caller has left while the request runs on. */
    fun onCallerDisconnected() {
        cancelled = true
        eventLoop.execute {
            (sink as? RecordingSink)?.callerDisconnected = true
            attempt?.onWritable(true)
        }
    }
}
