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

/** The header that assigns an id to a resumable response of an engine. Callers can't set it. */
internal const val STREAM_HEADER: String = "x-corneltrack-stream"

/**
 * Tracks a response that can be resumed at any byte with a range request, because its engine buffers it.
 *
 * The id is unique to the attempt, so that no other response can be read with it. Only used on the request's event
 * loop.
 */
internal class ResumableStream {
    val id: String = UUID.randomUUID().toString()
    private var resumeDeadlineMs = 0L
    private var failures = 0

    /** The number of bytes of the response's body that have been delivered. */
    var offset = 0L
        private set

    /** The break after which the response has not been resumed yet, or null if there is none. */
    var firstBreak: AttemptResult.Broken? = null
        private set

    /** Whether the response broke and has not been resumed yet. */
    val resuming: Boolean get() = firstBreak != null

    fun onDelivered(bytes: Int) {
        offset += bytes
    }

    /**
     * Records that a connection broke.
     *
     * @return the number of failed resumptions since the response broke.
     */
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

    /** Returns whether the response has been broken for [RESUME_WINDOW_MS], after which it is not resumed. */
    fun isExpired(nowMs: Long): Boolean = resuming && nowMs >= resumeDeadlineMs

    /** Returns the request that resumes the response at [offset]. */
    fun resumeRequest(endpoint: Endpoint): DefaultFullHttpRequest =
        request(HttpMethod.GET, endpoint).apply { headers().set(HttpHeaderNames.RANGE, "bytes=$offset-") }

    /** Returns the request that makes the engine stop generating and discard the response. */
    fun cancelRequest(endpoint: Endpoint): DefaultFullHttpRequest = request(HttpMethod.DELETE, endpoint)

    private fun request(method: HttpMethod, endpoint: Endpoint): DefaultFullHttpRequest {
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "$STREAMS_PATH$id")
        request.headers().set(HttpHeaderNames.HOST, endpoint.address)
        return request
    }
}
