package corneltrack.router.relay

import corneltrack.policy.placement.Generation
import corneltrack.router.callers.ResponseSink
import corneltrack.router.digest
import corneltrack.world.EndpointId
import corneltrack.world.WorkspaceId
import corneltrack.world.routing.Route
import corneltrack.world.routing.RoutedPool
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

private const val FINGERPRINT_LENGTH = 16

/** Holds a caller's request as it came: what every attempt sends on. */
internal class CallerMessage(val method: HttpMethod, val uri: String, val headers: HttpHeaders, val body: ByteArray) {
    /** Returns a name of what [workspace] asked for here, the same for each repeat. Hashes the body. */
    fun fingerprint(workspace: WorkspaceId?): String {
        val caller = "${workspace?.value} $method $uri"
        return digest(caller.toByteArray(), body).take(FINGERPRINT_LENGTH)
    }
}

/**
 * Bounds one request in time, in ms of the steady clock.
 *
 * @property arrivedMs when it arrived.
 * @property callerDeadlineMs until when the caller waits.
 * @property responseDeadlineMs when it gets its final answer at the latest.
 * @property earlierWaitMs how long the caller had waited before, on an earlier try.
 */
internal data class CallTimes(
    val arrivedMs: Long,
    val callerDeadlineMs: Long,
    val responseDeadlineMs: Long,
    val earlierWaitMs: Long,
)

/** Holds one admitted request on its way. */
internal data class RelayedCall(
    val id: String,
    val requestId: String?,
    val workspace: WorkspaceId?,
    val route: Route,
    val pool: RoutedPool,
    val generation: Generation?,
    val times: CallTimes,
    val message: CallerMessage,
    val sink: ResponseSink,
) {
    /** Names what the caller asked for; only reckoned where a request is suspected. */
    val fingerprint: String by lazy(LazyThreadSafetyMode.NONE) { message.fingerprint(workspace) }

    /** The endpoints that failed this request or could not be reached. */
    val triedEndpoints: MutableSet<EndpointId> = HashSet()

    /** The endpoints that it was sent to. */
    var attempts: Int = 0

    /** Whether an endpoint was found for it. */
    var placed: Boolean = false

    /** Whether an attempt may have run. */
    var mayHaveRun: Boolean = false

    /** Whether the caller has seen a part of the answer. */
    var responseStarted: Boolean = false

    /** The last event that the caller has, or null. */
    var lastEventId: String? = null

    /** When the first event came, in ms of the steady clock, or null. */
    var firstEventMs: Long? = null

    /** The longest time between two events, in ms. */
    var longestPauseMs: Long = 0

    /** Whether the request has its final answer or needs none. */
    var finished: Boolean = false
}
