package corneltrack.router

import corneltrack.router.callers.CallerRequest
import corneltrack.router.callers.DEFAULT_RETRY_AFTER_MS
import corneltrack.router.callers.Refusal
import corneltrack.world.Pool
import corneltrack.world.PoolKind
import corneltrack.world.WorkspaceId
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.util.UUID

private const val CHAT_PATH = "/v1/chat/completions"
private const val MODELS_PATH = "/v1/models"
private const val DEADLINE_HEADER = "x-corneltrack-deadline-ms"
private const val MAXIMUM_DEADLINE_MS = 3_600_000L
private const val BEARER_PREFIX = "Bearer "
private val PARENT_SEGMENT = Regex("(^|/)(\\.|%2e){2}(/|$)", RegexOption.IGNORE_CASE)
private val REQUEST_ID_FORMAT = Regex("[A-Za-z0-9_.-]{1,64}")

/** The result of admitting a request. */
internal sealed interface Admission {
    /**
     * The request may wait for a slot of [pool].
     *
     * @property deadlineMs the latest start of the request, in ms after its arrival.
     */
    data class Accepted(
        val id: String,
        val workspace: WorkspaceId,
        val pool: Pool,
        val deadlineMs: Long,
        val idempotencyKey: String?,
    ) : Admission

    /** The request asks for the list of models. */
    data class Models(val models: List<Pool>) : Admission

    data class Refused(val refusal: Refusal) : Admission
}

/** Authenticates, routes and validates [request] under the configuration of [view]. */
internal fun admit(request: CallerRequest, view: RouterView): Admission {
    val workspace = request.head.apiKey()?.let { view.workspaceOfKey(keyHash(it)) }
    return when {
        !view.configuration.loaded -> Admission.Refused(NO_CONFIGURATION)
        workspace == null -> Admission.Refused(UNKNOWN_KEY)
        else -> route(request, view, workspace)
    }
}

private fun route(request: CallerRequest, view: RouterView, workspace: WorkspaceId): Admission {
    val path = request.head.uri().substringBefore('?')
    val method = request.head.method()
    val service = view.servicePoolAt(path)
    return when {
        PARENT_SEGMENT.containsMatchIn(path) -> Admission.Refused(UNKNOWN_PATH)
        path == CHAT_PATH && method == HttpMethod.POST -> admitChat(request, view, workspace)
        path == MODELS_PATH && method == HttpMethod.GET ->
            Admission.Models(view.configuration.pools.values.filter { it.kind == PoolKind.MODEL })
        path == CHAT_PATH || path == MODELS_PATH -> Admission.Refused(WRONG_METHOD)
        service != null -> accept(request.head, workspace, service)
        else -> Admission.Refused(UNKNOWN_PATH)
    }
}

private fun admitChat(request: CallerRequest, view: RouterView, workspace: WorkspaceId): Admission {
    val model = try {
        val body = Json.parseToJsonElement(String(request.body.toByteArray(), Charsets.UTF_8)) as? JsonObject
        (body?.get("model") as? JsonPrimitive)?.takeIf { it.isString }?.content
    } catch (_: SerializationException) {
        return Admission.Refused(BAD_JSON)
    }
    val pool = view.configuration.pools.values.firstOrNull { it.kind == PoolKind.MODEL && it.id.value == model }
    return when {
        model == null -> Admission.Refused(NO_MODEL)
        pool == null -> Admission.Refused(UNKNOWN_MODEL)
        else -> accept(request.head, workspace, pool)
    }
}

private fun accept(head: HttpRequest, workspace: WorkspaceId, pool: Pool): Admission {
    val header = head.headers().get(DEADLINE_HEADER)
    val deadlineMs = if (header == null) pool.deadlineMs else header.toLongOrNull()
    val key = head.headers().get("idempotency-key")
    return when {
        deadlineMs == null || deadlineMs !in 1..MAXIMUM_DEADLINE_MS -> Admission.Refused(BAD_DEADLINE)
        key != null && !IDEMPOTENCY_KEY_FORMAT.matches(key) -> Admission.Refused(BAD_KEY)
        else -> Admission.Accepted(head.requestId(), workspace, pool, deadlineMs, key)
    }
}

private fun HttpRequest.apiKey(): String? {
    val bearer = headers().get(HttpHeaderNames.AUTHORIZATION)?.takeIf { it.startsWith(BEARER_PREFIX) }
    return bearer?.removePrefix(BEARER_PREFIX)?.trim() ?: headers().get(API_KEY_HEADER)
}

private fun HttpRequest.requestId(): String =
    headers().get(REQUEST_ID_HEADER)?.takeIf { REQUEST_ID_FORMAT.matches(it) } ?: UUID.randomUUID().toString()

private val IDEMPOTENCY_KEY_FORMAT = Regex("[\\x21-\\x7e]{1,255}")

private val NO_CONFIGURATION = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "no_configuration",
    "This router has no configuration yet.",
    retryAfterMs = DEFAULT_RETRY_AFTER_MS,
)
private val UNKNOWN_KEY =
    Refusal(HttpResponseStatus.UNAUTHORIZED, "invalid_api_key", "The API key names no workspace.")
private val UNKNOWN_PATH =
    Refusal(HttpResponseStatus.NOT_FOUND, "unknown_path", "No model interface and no service has this path.")
private val WRONG_METHOD =
    Refusal(HttpResponseStatus.METHOD_NOT_ALLOWED, "wrong_method", "This path takes another method.")
private val UNKNOWN_MODEL =
    Refusal(HttpResponseStatus.NOT_FOUND, "model_not_found", "No pool serves this model.")
private val NO_MODEL =
    Refusal(HttpResponseStatus.BAD_REQUEST, "model_missing", "The body must be an object with a text 'model'.")
private val BAD_JSON =
    Refusal(HttpResponseStatus.BAD_REQUEST, "bad_json", "The body is not valid JSON.")
private val BAD_DEADLINE =
    Refusal(HttpResponseStatus.BAD_REQUEST, "bad_deadline", "$DEADLINE_HEADER must be a whole number in 1..3600000.")
private val BAD_KEY =
    Refusal(HttpResponseStatus.BAD_REQUEST, "bad_key", "Idempotency-Key must be 1 to 255 printable characters.")
