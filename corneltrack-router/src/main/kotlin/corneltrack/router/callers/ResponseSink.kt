package corneltrack.router.callers

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.math.BigDecimal

/** The response header that states whether the request ran, as an [Outcome]. */
internal const val OUTCOME_HEADER: String = "x-corneltrack-outcome"

private const val MS_PER_SECOND = 1_000L
private const val MS_DECIMALS = 3
private val errorJson = Json { encodeDefaults = true }

/** The body of an error response, in the format of the OpenAI API. */
@Serializable
internal data class ErrorBody(val error: ErrorDetail)

@Serializable
internal data class ErrorDetail(
    val message: String,
    val code: String,
    val outcome: String,
    val type: String = "corneltrack_error",
    val param: String? = null,
)

/** Whether a request ran, as stated in each error response that the router itself creates. */
internal enum class Outcome(val text: String) {
    NOT_RUN("not-run"),
    UNKNOWN("unknown"),
    DONE("done"),
}

/**
 * An error response that the router itself creates.
 *
 * @property code the machine-readable error code of the body.
 * @property message the explanation in the body.
 * @property retryAfterMs the delay after which a retry makes sense, in ms; null if none does.
 */
internal data class Refusal(
    val status: HttpResponseStatus,
    val code: String,
    val message: String,
    val outcome: Outcome = Outcome.NOT_RUN,
    val retryAfterMs: Long? = null,
) {
    private val closing by lazy(LazyThreadSafetyMode.PUBLICATION) { EncodedResponse(response(closes = true)) }
    private val staying by lazy(LazyThreadSafetyMode.PUBLICATION) { EncodedResponse(response(closes = false)) }

    /** Returns the complete response, which says so if it [closes] the connection. */
    internal fun encoded(closes: Boolean): EncodedResponse = if (closes) closing else staying

    private fun response(closes: Boolean): DefaultFullHttpResponse {
        val body = errorJson.encodeToString(ErrorBody(ErrorDetail(message, code, outcome.text)))
        val response = jsonResponse(status, body, closes)
        response.headers().set(OUTCOME_HEADER, outcome.text)
        retryAfterMs?.let { response.headers().set(HttpHeaderNames.RETRY_AFTER, toSeconds(it)) }
        return response
    }
}

/** Formats [ms] in seconds, without a fraction for whole seconds. */
private fun toSeconds(ms: Long): String =
    if (ms % MS_PER_SECOND == 0L) "${ms / MS_PER_SECOND}" else BigDecimal.valueOf(ms, MS_DECIMALS).toPlainString()

/** Receives the response to one request. All calls are made on the request's event loop. */
internal interface ResponseSink {
    /** Whether content can be written now without buffering it. */
    val writable: Boolean

    fun head(response: HttpResponse)

    fun content(data: ByteBuf)

    fun end()

    /** Sends a complete error response. */
    fun refuse(refusal: Refusal)

    /** Closes the connection before the end of the response, so that the caller does not take it for complete. */
    fun abort(reason: String)
}
