package corneltrack.router

import corneltrack.router.callers.Outcome
import corneltrack.router.callers.Refusal
import corneltrack.router.callers.ResponseSink
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import java.io.ByteArrayOutputStream
import java.util.Base64

private const val MAXIMUM_STORED_BODY_BYTES = 262_144

/**
 * Forwards a response and records it as the outcome of a claim, so that duplicates receive a replay.
 *
 * The response is read to its end even if the caller disconnects. A body above [MAXIMUM_STORED_BODY_BYTES] is not
 * stored.
 */
internal class RecordingSink(
    private val sink: ResponseSink,
    private val onOutcome: (ClaimOutcome) -> Unit,
) : ResponseSink {
    private val body = ByteArrayOutputStream()
    private var status = 0
    private var contentType = ""
    private var tooLarge = false

    /** Whether the caller has disconnected. */
    @Volatile
    var callerDisconnected: Boolean = false

    override val writable: Boolean get() = callerDisconnected || sink.writable

    override fun head(response: HttpResponse) {
        status = response.status().code()
        contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE).orEmpty()
        sink.head(response)
    }

    override fun content(data: ByteBuf) {
        if (body.size() + data.readableBytes() > MAXIMUM_STORED_BODY_BYTES) {
            tooLarge = true
        } else {
            data.getBytes(data.readerIndex(), body, data.readableBytes())
        }
        sink.content(data)
    }

    override fun end() {
        val text = Base64.getEncoder().encodeToString(body.toByteArray())
        val response = StoredResponse(status, contentType, text).takeIf { !tooLarge }
        onOutcome(ClaimOutcome(ClaimState.DONE, response))
        sink.end()
    }

    override fun refuse(refusal: Refusal) {
        val state = if (refusal.outcome == Outcome.NOT_RUN) ClaimState.NOT_RUN else ClaimState.UNKNOWN
        onOutcome(ClaimOutcome(state))
        sink.refuse(refusal)
    }

    override fun abort(reason: String) {
        onOutcome(ClaimOutcome(ClaimState.UNKNOWN))
        sink.abort(reason)
    }
}
