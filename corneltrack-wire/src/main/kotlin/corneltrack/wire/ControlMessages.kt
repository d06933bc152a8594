package corneltrack.wire

import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.encodeToString
import java.util.concurrent.CompletableFuture

private const val FIRST_SUCCESS = 200
private const val FIRST_REDIRECT = 300
private const val JSON_TYPE = "application/json"

/**
 * Asks something of a control surface, the platform's log or the instance list.
 *
 * @property path the path with its query.
 * @property content the body; empty by default.
 * @property secret the peers' secret, sent as a bearer token; null for none.
 * @property ifNoneMatch the entity tag of an answer that the sender has; status 304 confirms that it still holds.
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

    /** Makes a request with a [body] of text. */
    public constructor(method: HttpMethod, path: String, body: String, secret: String? = null) :
        this(method, path, Content.of(body), secret)

    override fun toString(): String = "$method $path"
}

/**
 * Answers a [ControlRequest].
 *
 * @property contentType the media type of [content], or null where both sides know it.
 * @property entityTag the entity tag of [content], or null where it has none.
 */
public data class ControlResponse(
    val status: HttpResponseStatus,
    val content: Content = Content.EMPTY,
    val contentType: String? = null,
    val entityTag: String? = null,
) {
    /** Makes an answer with a [body] of text. */
    public constructor(status: HttpResponseStatus, body: String, contentType: String = JSON_TYPE) :
        this(status, Content.of(body), contentType)
}

/** Tells what became of a [ControlRequest]. */
public sealed interface ControlResult {
    /** The other side answered. */
    public data class Responded(
        val status: Int,
        val content: Content,
        val entityTag: String? = null,
    ) : ControlResult {
        /** The body as text. */
        val body: String get() = content.text

        /** Whether the status is one of success. */
        val ok: Boolean get() = status in FIRST_SUCCESS until FIRST_REDIRECT
    }

    /** No connection was made: the request had no effect. */
    public data class NotSent(val reason: String) : ControlResult

    /** The connection broke or fell silent after the request may have left: it may have had its effect. */
    public data class NoResponse(val reason: String) : ControlResult
}

/** Handles the requests of a control surface. */
public typealias ControlHandler = (ControlRequest) -> CompletableFuture<ControlResponse>

/** Returns a finished answer with [value] as JSON. */
public inline fun <reified T> jsonResponse(
    value: T,
    status: HttpResponseStatus = HttpResponseStatus.OK,
): CompletableFuture<ControlResponse> =
    CompletableFuture.completedFuture(ControlResponse(status, wireJson.encodeToString(value)))

/** Returns a finished answer without content but a message. */
public fun errorResponse(status: HttpResponseStatus, message: String): CompletableFuture<ControlResponse> =
    jsonResponse(ErrorMessage(message), status)

/** Carries the reason for a refused control request. */
@kotlinx.serialization.Serializable
public data class ErrorMessage(val error: String)
