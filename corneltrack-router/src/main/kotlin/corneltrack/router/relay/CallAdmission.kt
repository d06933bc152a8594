package corneltrack.router.relay

import corneltrack.policy.discovery.CachedView
import corneltrack.policy.discovery.Lookup
import corneltrack.router.callers.Refusal
import corneltrack.world.WorkspaceId
import corneltrack.world.routing.Route
import corneltrack.world.routing.RoutedPool
import corneltrack.world.routing.RoutedWorkspace
import corneltrack.world.routing.RoutingTable
import io.netty.handler.codec.http.HttpResponseStatus

private const val STARTUP_RETRY_MS = 500L
private const val CONFIGURATION_RETRY_MS = 1_000L

/** Describes whether a request is admitted. */
internal sealed interface CallAdmission {
    /**
     * The request may be sent to an endpoint of [pool].
     *
     * @property workspace the workspace that the request is charged to, or null for a public route.
     */
    data class Accepted(
        val route: Route,
        val pool: RoutedPool,
        val workspace: RoutedWorkspace?,
    ) : CallAdmission {
        val workspaceId: WorkspaceId? get() = workspace?.id
    }

    /** The router itself responds to the caller with [refusal]. */
    data class Refused(val refusal: Refusal) : CallAdmission
}

/**
 * Decides from the routing table whether a request is admitted and which pool serves it.
 *
 * @param view the routing table, or null before it was read completely for the first time.
 * @param keysStale whether the configuration is so old that a revoked key could still be in the table.
 * @param random a random number in 0..1 that selects one of the route's weighted pools.
 */
internal fun admitCall(
    metadata: CallerMetadata,
    view: CachedView<RoutingTable>?,
    keysStale: Boolean,
    random: Double,
): CallAdmission {
    if (view == null) return CallAdmission.Refused(NO_CONFIGURATION)
    return when (val route = view.find { it.routeFor(metadata.host, metadata.path) }) {
        is Lookup.Found -> admitToRoute(metadata, route.value, view, keysStale, random)
        Lookup.Absent -> CallAdmission.Refused(NO_ROUTE)
        Lookup.NotKnown -> CallAdmission.Refused(ROUTE_NOT_KNOWN)
    }
}

private fun admitToRoute(
    metadata: CallerMetadata,
    route: Route,
    view: CachedView<RoutingTable>,
    keysStale: Boolean,
    random: Double,
): CallAdmission {
    val table = view.content
    val pool = route.choosePool(random)?.let { table.pools[it.pool] }
    return when {
        pool == null -> CallAdmission.Refused(NO_POOL)
        route.public || !table.keysRequired -> CallAdmission.Accepted(route, pool, null)
        keysStale -> CallAdmission.Refused(KEYS_STALE)
        else -> when (val holder = view.find { metadata.apiKey?.let(it::workspaceForKey) }) {
            is Lookup.Found -> CallAdmission.Accepted(route, pool, holder.value)
            Lookup.Absent -> CallAdmission.Refused(UNKNOWN_KEY)
            Lookup.NotKnown -> CallAdmission.Refused(KEY_NOT_KNOWN)
        }
    }
}

/** Chooses a pool with a probability in proportion to its weight. */
private fun Route.choosePool(random: Double) =
    pools.runningFold(0.0) { sum, pool -> sum + pool.weight }.drop(1).let { sums ->
        val target = random * (sums.lastOrNull() ?: 0.0)
        pools.getOrNull(sums.indexOfFirst { it > target }) ?: pools.lastOrNull()
    }

private val NO_CONFIGURATION = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "no_configuration",
    "This router has not learned its configuration yet.",
    retryAfterMs = STARTUP_RETRY_MS,
)
private val KEYS_STALE = tooOld("This router cannot tell whether the API key is still valid.")
private val KEY_NOT_KNOWN = tooOld("This router cannot tell whether the API key is valid by now.")
private val ROUTE_NOT_KNOWN = tooOld("This router cannot tell whether a route leads there by now.")
private val NO_POOL = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "unknown_pool",
    "The route leads to no known pool.",
    retryAfterMs = CONFIGURATION_RETRY_MS,
)
private val UNKNOWN_KEY = Refusal(HttpResponseStatus.UNAUTHORIZED, "invalid_api_key", "The API key is not valid.")
private val NO_ROUTE = Refusal(HttpResponseStatus.NOT_FOUND, "unknown_route", "No route leads there.")

private fun tooOld(message: String) = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "configuration_too_old",
    message,
    retryAfterMs = CONFIGURATION_RETRY_MS,
)
