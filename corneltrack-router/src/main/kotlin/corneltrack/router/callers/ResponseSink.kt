package corneltrack.router.callers

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/** Tells whether a request ran, in every answer that the router itself makes. */
internal enum class Outcome(val text: String) {
    NOT_RUN("not-run"),
    UNKNOWN("unknown"),
    DONE("done"),
}

/**
 * Holds an answer made by the router itself.
 *
 * @property retryAfterMs when a repeat makes sense, in ms; null where it does not.
 * @property closesConnection whether the connection closes after it, so that it holds no memory while the router is overloaded.
 */
internal data class Refusal(
    val status: HttpResponseStatus,
    val code: String,
    val message: String,
    val outcome: Outcome = Outcome.NOT_RUN,
    val retryAfterMs: Long? = null,
    val closesConnection: Boolean = false,
)

/** Receives the answer to one request. All calls come on the request's event loop. */
internal interface ResponseSink {
    /** Whether more content can be taken without buffering it. */
    val writable: Boolean

    fun head(response: HttpResponse)

    fun content(data: ByteBuf)

    fun end()

    /** Sends an answer of the router's own. */
    fun refuse(refusal: Refusal)

    /** Breaks the connection off in the middle of an answer. */
    fun abort(reason: String)
}
