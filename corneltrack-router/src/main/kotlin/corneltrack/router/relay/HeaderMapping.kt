package corneltrack.router.relay

import corneltrack.policy.placement.Generation
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/**
 * Holds what a caller says of its request.
 *
 * @property requestId names this request of the caller; a repeat of the caller has another name. Null where missing.
 * @property host the host without a port, in lower case.
 * @property path the path without its query.
 * @property apiKey the API key, or null.
 * @property timeLeftMs how long the caller waits for the whole answer, in ms, or null where it does not say.
 * @property generation the work for a model engine, or null where the request is none.
 */
public data class CallerMetadata(
    val requestId: String?,
    val host: String,
    val path: String,
    val apiKey: String?,
    val timeLeftMs: Long?,
    val generation: Generation?,
)

/**
 * Holds what the router tells an endpoint beyond the caller's request.
 *
 * @property endpoint the name that the endpoint must have to run the request.
 * @property workspace the workspace that pays, or null for a public route.
 * @property timeLeftMs the time in which the answer is still wanted, in ms.
 * @property lastEventId the last event that the caller has, where an answer goes on; null otherwise.
 */
public data class AttemptMetadata(
    val endpoint: String,
    val workspace: String?,
    val timeLeftMs: Long,
    val lastEventId: String?,
)

/**
 * Holds what the head of an endpoint's answer says.
 *
 * @property requestId the request that it answers, or null where it does not say.
 * @property authentic whether the endpoint itself made it.
 * @property notRun whether the endpoint states that it did not run the request.
 * @property occupied the requests that run or wait at the endpoint, or null where it does not say.
 */
public data class ResponseMetadata(
    val requestId: String?,
    val authentic: Boolean,
    val notRun: Boolean,
    val activeRequests: Int?,
)

/**
 * Translates between the headers on the wire and the router's own terms.
 *
 * @property readRequest reads the head of a caller's request.
 * @property writeRequest turns the caller's headers into those for the endpoint: without what only the router may say.
 * @property readResponse reads the head of an endpoint's answer.
 */
public class HeaderMapping(
    public val readRequest: (HttpRequest) -> CallerMetadata,
    public val writeRequest: (HttpHeaders, AttemptMetadata) -> Unit,
    public val readResponse: (HttpResponse) -> ResponseMetadata,
)
