package corneltrack.router

import corneltrack.policy.AttemptResult
import corneltrack.world.Endpoint
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.util.UUID

private const val RESUME_WINDOW_MS = 30_000L
private const val STREAMS_PATH = "/v1/streams/"

/** The header that names a stream to an engine that keeps it. Callers can't set it. */
internal const val STREAM_HEADER: String = "x-corneltrack-stream"

/**
 * Follows one answer that its engine keeps, so that it can be read on from any byte with a range request.
 *
 * The name is unique to the attempt, so that no other answer can be read by it. Only used on the request's event loop.
 */
internal class ResumableStream {
    val id: String = UUID.randomUUID().toString()
    private var resumeDeadlineMs = 0L
    private var failures = 0

    /** The bytes of the answer's body that have been delivered. */
    var offset = 0L
        private set

    /** The break after which the answer has not gone on yet, or null. */
    var firstBreak: AttemptResult.Broken? = null
        private set

    /** Whether the answer has broken off and not gone on yet. */
    val resuming: Boolean get() = firstBreak != null

    fun onDelivered(bytes: Int) {
        offset += bytes
    }

    /** Takes in that the connection broke. Returns how often reading on has failed since the answer last went on. */
    fun onBreak(broken: AttemptResult.Broken, nowMs: Long): Int {
        if (firstBreak == null) {
            firstBreak = broken
            resumeDeadlineMs = nowMs + RESUME_WINDOW_MS
            failures = 0
        } else {
            failures++
        }
        return failures
    }

    fun onResumed() {
        firstBreak = null
    }

    /** Returns whether it is too late to resume the answer. */
    fun isExpired(nowMs: Long): Boolean = resuming && nowMs >= resumeDeadlineMs

    /** Builds the request that reads the answer on. */
    fun resumeRequest(endpoint: Endpoint): DefaultFullHttpRequest =
        request(HttpMethod.GET, endpoint).apply { headers().set(HttpHeaderNames.RANGE, "bytes=$offset-") }

    /** Builds the request that lets the engine drop the stream. */
    fun cancelRequest(endpoint: Endpoint): DefaultFullHttpRequest = request(HttpMethod.DELETE, endpoint)

    private fun request(method: HttpMethod, endpoint: Endpoint): DefaultFullHttpRequest {
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "$STREAMS_PATH$id")
        request.headers().set(HttpHeaderNames.HOST, endpoint.address)
        return request
    }
}
