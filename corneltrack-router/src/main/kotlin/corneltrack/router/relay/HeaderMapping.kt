package corneltrack.router.relay

import corneltrack.policy.limits.StatedLimit
import corneltrack.policy.limits.StatedPause
import corneltrack.policy.placement.Generation
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/**
 * States that a caller takes up a stream of which it has some events.
 *
 * @property stream the id of the caller's request that brought the first event, or null if it names none or several.
 */
public data class TakenUpStream(val stream: String?)

/**
 * Holds the metadata of a caller's request.
 *
 * @property requestId the caller's id of this request, or null if it states none, an empty one or several; a retry by
 *   the caller has another id.
 * @property host the host name without the port, in lower case.
 * @property path the path without the query string.
 * @property apiKey the API key, or null.
 * @property timeLeftMs how long the caller waits for the complete response, in ms, or null if not stated.
 * @property cost the tokens that a model engine would process, or null for other requests.
 * @property takesUp the stream that the request goes on with, or null if it begins anew.
 * @property readGeneration reads the work for a model engine; returns null for other requests. What is refused does
 *   without.
 */
public data class CallerMetadata(
    val requestId: String?,
    val host: String,
    val path: String,
    val apiKey: String?,
    val timeLeftMs: Long?,
    val cost: Long?,
    val takesUp: TakenUpStream? = null,
    val readGeneration: () -> Generation?,
)

/**
 * Holds the metadata that the router adds to the request of an attempt.
 *
 * @property endpoint the name of the intended endpoint; an endpoint with another name must not run the request.
 * @property workspace the workspace that the request is charged to, or null for a public route.
 * @property timeLeftMs how long the caller still waits for the response, in ms.
 * @property lastEventId the id of the last event that the caller has, if a stream is resumed; null otherwise.
 * @property prefixSource the address of an engine from which the endpoint may copy the cached start of the prompt, or
 *   null for none.
 */
public data class AttemptMetadata(
    val endpoint: String,
    val workspace: String?,
    val timeLeftMs: Long,
    val lastEventId: String?,
    val prefixSource: String? = null,
)

/**
 * Holds the load that an endpoint states.
 *
 * @property running the requests that the endpoint runs.
 * @property waiting the requests in its queue.
 * @property slots the requests that it runs at once, or null if not stated.
 * @property pace how long work takes on the endpoint's machine at this moment, as a multiple of the usual time; null if
 *   not stated.
 */
public data class StatedLoad(val running: Int, val waiting: Int, val slots: Int? = null, val pace: Double? = null) {
    /** The requests that are running or queued. */
    val activeRequests: Int get() = running + waiting
}

/**
 * Holds the metadata of an endpoint's response.
 *
 * @property requestIds the ids of the requests that it states to belong to, all values in their order.
 * @property authentic whether the response carries the endpoint's signature, so that no intermediary made it.
 * @property notRun whether the endpoint states that it did not run the request.
 * @property load the load of the endpoint, or null if not stated.
 * @property limit the requests a second that the endpoint takes from all routers together, as far as stated.
 * @property leaving whether the endpoint states that it is about to exit and only finishes what it has.
 * @property pause for how long the endpoint wants no requests of this router, as far as stated; holds in a 503 only.
 */
public data class ResponseMetadata(
    val requestIds: List<String>,
    val authentic: Boolean,
    val notRun: Boolean,
    val load: StatedLoad?,
    val limit: StatedLimit = StatedLimit.None,
    val leaving: Boolean = false,
    val pause: StatedPause = StatedPause.None,
)

/**
 * Maps the HTTP headers of the platform to metadata and back.
 *
 * @property readRequest reads the metadata of a caller's request.
 * @property writeRequest turns the caller's headers into those for the endpoint: removes the headers that only the
 * router may set and adds the given metadata.
 * @property readResponse reads the metadata of an endpoint's response.
 * @property exampleHeaders the headers of a typical request for a model engine, by name.
 */
public class HeaderMapping(
    public val readRequest: (HttpRequest) -> CallerMetadata,
    public val writeRequest: (HttpHeaders, AttemptMetadata) -> Unit,
    public val readResponse: (HttpResponse) -> ResponseMetadata,
    public val exampleHeaders: Map<String, String> = emptyMap(),
)
