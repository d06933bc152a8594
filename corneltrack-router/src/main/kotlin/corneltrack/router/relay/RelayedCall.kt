package corneltrack.router.relay

import corneltrack.policy.placement.Generation
import corneltrack.policy.streams.StreamKey
import corneltrack.router.callers.BodyContent
import corneltrack.router.callers.CallerRequest
import corneltrack.router.callers.CompactHeaders
import corneltrack.router.callers.ResponseSink
import corneltrack.router.digest
import corneltrack.router.endToEnd
import corneltrack.router.shortDigest
import corneltrack.world.EndpointId
import corneltrack.world.RegionId
import corneltrack.world.WorkspaceId
import corneltrack.world.routing.Route
import corneltrack.world.routing.RoutedPool
import io.netty.handler.codec.http.HttpMethod

private const val FINGERPRINT_LENGTH = 16

/** Holds what every attempt forwards of a caller's request: its end-to-end headers and its body. */
internal class CallerMessage(
    val method: HttpMethod,
    val uri: String,
    val headers: CompactHeaders,
    val body: BodyContent,
) {
    constructor(request: CallerRequest) : this(
        request.head.method(),
        request.head.uri(),
        request.keep(request.head.headers().endToEnd()),
        request.body,
    )

    /** Returns a hash of workspace, method, URI and body that is the same for each retry of the request. */
    fun fingerprint(workspace: WorkspaceId?): String {
        val caller = "${workspace?.value} $method $uri"
        return digest(caller, body).take(FINGERPRINT_LENGTH)
    }
}

/**
 * Holds an admitted request and the state of its attempts. Confined to the event loop.
 *
 * @property id the request id for the log, or "-" where the caller gave none.
 * @property requestId the caller's id of the request, which tells its response from stray ones, or null if missing.
 * @property workspace the workspace that the request is charged to, or null for a public route.
 * @property takesUp the stream that the request goes on with, or null if it begins anew.
 * @property priority the priority of the workspace, or else of the route; 0 is the highest.
 * @property regions the only regions that may serve the request and cache its prompt; empty for all.
 * @property generation the work for a model engine, or null for other requests.
 */
internal data class RelayedCall(
    val id: String,
    val requestId: String?,
    val workspace: WorkspaceId?,
    val route: Route,
    val pool: RoutedPool,
    val regions: Set<RegionId>,
    val generation: Generation?,
    val times: CallTimes,
    val message: CallerMessage,
    val sink: ResponseSink,
    val priority: Int = route.priority,
    val takesUp: TakenUpStream? = null,
) {
    /** Identifies retries of the request; lazy, since only requests suspected of crashing an endpoint need the hash. */
    val fingerprint: String by lazy(LazyThreadSafetyMode.NONE) { message.fingerprint(workspace) }

    /** Identifies the stream that the call begins or goes on with; null where its caller has not named it. */
    val streamKey: StreamKey? by lazy(LazyThreadSafetyMode.NONE) {
        val id = if (takesUp != null) takesUp.stream else requestId
        id?.let { StreamKey(shortDigest(workspace?.value.orEmpty().toByteArray(), it.toByteArray())) }
    }

    /** Endpoints at which an attempt failed; they are not chosen again. */
    val triedEndpoints: MutableSet<EndpointId> = HashSet()

    /** The number of attempts in which the request was sent to an endpoint. */
    var attempts: Int = 0

    /** Whether an endpoint was chosen for at least one attempt. */
    var placed: Boolean = false

    /**
     * The tokens granted to the workspace divided by its fair share, when an engine was last chosen; null where the
     * fleet is not contended or the request is not for an engine.
     */
    var fairShareRatio: Double? = null

    /** Whether an endpoint may have run the request in an earlier attempt. */
    var mayHaveRun: Boolean = false

    /** Whether the head of a response was sent to the caller, so that no other response can replace it. */
    var responseStarted: Boolean = false

    /** The version of the endpoint that made the first event, which all further events must come from; or null. */
    var streamVersion: String? = null

    /** The id of the last event sent to the caller, or null. */
    var lastEventId: String? = null

    /** When the first event arrived, in ms of the monotonic clock, or null. */
    var firstEventMs: Long? = null

    /** The longest pause between two events, in ms. */
    var longestPauseMs: Long = 0

    /** Whether the call has been completed: by a response, a refusal, an abort or the caller's disconnect. */
    var finished: Boolean = false
}
