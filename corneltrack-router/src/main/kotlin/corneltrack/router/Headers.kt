package corneltrack.router

import corneltrack.router.callers.OUTCOME_HEADER
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Hop-by-hop headers and others that are never forwarded. */
internal val HOP_BY_HOP_HEADERS: List<CharSequence> = listOf(
    HttpHeaderNames.CONNECTION,
    "keep-alive",
    HttpHeaderNames.PROXY_AUTHENTICATE,
    HttpHeaderNames.PROXY_AUTHORIZATION,
    HttpHeaderNames.TE,
    HttpHeaderNames.TRAILER,
    HttpHeaderNames.TRANSFER_ENCODING,
    HttpHeaderNames.UPGRADE,
    "proxy-connection",
    OUTCOME_HEADER,
)

private const val INTERNAL_PREFIX = "x-corneltrack-"
private val NOT_FORWARDED_HEADERS = listOf(
    HttpHeaderNames.AUTHORIZATION,
    HttpHeaderNames.COOKIE,
    HttpHeaderNames.CONTENT_LENGTH,
    HttpHeaderNames.HOST,
    HttpHeaderNames.EXPECT,
    REQUEST_ID_HEADER,
    API_KEY_HEADER,
)

/** The header with the request id, for logs and responses. */
internal const val REQUEST_ID_HEADER: String = "x-request-id"

/** The header with the API key, read if there is no bearer token. */
internal const val API_KEY_HEADER: String = "x-api-key"

/** Returns a copy without [HOP_BY_HOP_HEADERS] and the headers that the `Connection` header names. */
internal fun HttpHeaders.endToEnd(): HttpHeaders {
    val connectionOptions = getAll(
        HttpHeaderNames.CONNECTION
    ).flatMap { it.split(',') }.map { it.trim() }.filter { it.isNotEmpty() }
    val forwarded = DefaultHttpHeaders().set(this)
    (HOP_BY_HOP_HEADERS + connectionOptions).forEach { forwarded.remove(it.toString()) }
    return forwarded
}

/** Returns the headers for an endpoint, without the caller's credentials and the headers that callers may not set. */
internal fun HttpHeaders.forEndpoint(requestId: String): HttpHeaders {
    val forwarded = endToEnd()
    NOT_FORWARDED_HEADERS.forEach { forwarded.remove(it.toString()) }
    names().filter { it.lowercase().startsWith(INTERNAL_PREFIX) }.forEach { forwarded.remove(it) }
    return forwarded.set(REQUEST_ID_HEADER, requestId)
}
