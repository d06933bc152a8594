package corneltrack.wire

import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.encodeToString
import java.util.concurrent.CompletableFuture

private const val FIRST_SUCCESS = 200
private const val FIRST_REDIRECT = 300
private const val JSON_TYPE = "application/json"

/**
 * The header that identifies a call on its connection and in the response.
 *
 * Servers that do not know the header, such as older control servers and the platform's store, state no call.
 */
internal const val CALL_HEADER: String = "x-corneltrack-call"

/**
 * An HTTP request to a control server, the platform's log or the instance list.
 *
 * @property path the path with its query.
 * @property content the body; empty by default.
 * @property secret the shared secret of routers and operators, sent as a bearer token; null for none.
 * @property ifNoneMatch the entity tag of the response that the sender has cached; status 304 confirms that it is
 *   current.
 */
public data class ControlRequest(
    val method: HttpMethod,
    val path: String,
    val content: Content = Content.EMPTY,
    val secret: String? = null,
    val ifNoneMatch: String? = null,
) {
    /** The body as text. */
    val body: String get() = content.text

    /** Creates a request with a text [body]. */
    public constructor(method: HttpMethod, path: String, body: String, secret: String? = null) :
        this(method, path, Content.of(body), secret)

    override fun toString(): String = "$method $path"
}

/**
 * The response to a [ControlRequest].
 *
 * @property contentType the media type of [content], or null to send no content type.
 * @property entityTag the entity tag of [content], or null if it has none.
 * @property headers further headers by name.
 */
public data class ControlResponse(
    val status: HttpResponseStatus,
    val content: Content = Content.EMPTY,
    val contentType: String? = null,
    val entityTag: String? = null,
    val headers: Map<String, String> = emptyMap(),
) {
    /** Creates a response with a text [body], by default JSON. */
    public constructor(status: HttpResponseStatus, body: String, contentType: String = JSON_TYPE) :
        this(status, Content.of(body), contentType)
}

/** The result of sending a [ControlRequest]. */
public sealed interface ControlResult {
    /**
     * A response arrived, with any status.
     *
     * @property entityTag the entity tag of [content], or null if it has none.
     * @property headers the values of the headers by name, in lower case.
     */
    public data class Responded(
        val status: Int,
        val content: Content,
        val entityTag: String? = null,
        val headers: Map<String, List<String>> = emptyMap(),
    ) : ControlResult {
        /** The body as text. */
        val body: String get() = content.text

        /** Whether the status is 2xx. */
        val ok: Boolean get() = status in FIRST_SUCCESS until FIRST_REDIRECT
    }

    /** No connection could be established, so the request had no effect. */
    public data class NotSent(val reason: String) : ControlResult

    /** The connection broke or the response timed out. The request may have been sent and had an effect. */
    public data class NoResponse(val reason: String) : ControlResult
}

/** Handles the requests that a [ControlServer] receives. */
public typealias ControlHandler = (ControlRequest) -> CompletableFuture<ControlResponse>

/** Returns a completed response with [value] as JSON. */
public inline fun <reified T> jsonResponse(
    value: T,
    status: HttpResponseStatus = HttpResponseStatus.OK,
): CompletableFuture<ControlResponse> =
    CompletableFuture.completedFuture(ControlResponse(status, wireJson.encodeToString(value)))

/** Returns a completed response with [message] as an [ErrorMessage]. */
public fun errorResponse(status: HttpResponseStatus, message: String): CompletableFuture<ControlResponse> =
    jsonResponse(ErrorMessage(message), status)

/** The body of a response to a control request that was refused or failed. */
@kotlinx.serialization.Serializable
public data class ErrorMessage(val error: String)
