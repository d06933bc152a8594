package corneltrack.router

import corneltrack.world.EndpointId

/** Looks up the requests that were running at an endpoint when it crashed. */
internal interface SuspectLookup {
    /** Returns whether a request with [fingerprint] was running at an endpoint when it crashed. */
    fun isSuspect(fingerprint: String): Boolean

    /** Returns the endpoints that crashed while running the requests with [fingerprint]. */
    fun endpointsOf(fingerprint: String): Set<EndpointId>
}

/**
 * Chooses among endpoints with a free slot.
 *
 * A suspect never runs at the same endpoint as another suspect, so that a second crash identifies the request that
 * caused it, and never returns to an endpoint that crashed while running it. Not thread-safe; owned by the pool's
 * scheduler.
 */
internal class EndpointChooser(private val suspects: SuspectLookup) {
    private val suspectsRunning = HashMap<EndpointId, Int>()
    private val startedAsSuspect = HashMap<RoutedRequest, Boolean>()

    /**
     * Returns the endpoint for [request] with the most free slots, or null if none is eligible.
     *
     * @param free the number of free slots by endpoint.
     */
    fun choose(request: RoutedRequest, free: Map<EndpointId, Int>): EndpointId? {
        val suspect = isSuspect(request)
        val crashed = if (suspect) suspects.endpointsOf(request.identity.fingerprint) else emptySet()
        val untried = free.filterKeys { it !in request.triedEndpoints && it !in crashed }
        val eligible = (if (suspect) untried else untried.ifEmpty { free })
            .filterKeys { !suspect || (suspectsRunning[it] ?: 0) == 0 }
        return eligible.maxWithOrNull(compareBy({ it.value }, { it.key }))?.key
    }

    /** Returns whether [request] was running at an endpoint when it crashed. */
    fun isSuspect(request: RoutedRequest): Boolean = suspects.isSuspect(request.identity.fingerprint)

    fun onStart(request: RoutedRequest, endpoint: EndpointId) {
        val suspect = isSuspect(request)
        startedAsSuspect[request] = suspect
        if (suspect) {
            suspectsRunning.merge(endpoint, 1, Int::plus)
        }
    }

    fun onEnd(request: RoutedRequest, endpoint: EndpointId) {
        if (startedAsSuspect.remove(request) == true) {
            suspectsRunning.computeIfPresent(endpoint) { _, count -> if (count > 1) count - 1 else null }
        }
    }
}
