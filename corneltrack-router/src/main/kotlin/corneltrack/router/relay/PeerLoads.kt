package corneltrack.router.relay

import corneltrack.policy.limits.LimitObservation
import corneltrack.policy.placement.LoadSummary
import corneltrack.policy.placement.WorkspaceRate
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId

/**
 * Updates this router's view of the fleet's load from the digests of its peers.
 *
 * Stays cheap in large fleets, where digests arrive from many peers per second and each names few endpoints: only the
 * endpoints in a digest and in the previous one of the same peer are updated. Not thread-safe.
 */
internal class PeerLoads(private val load: FleetLoad) {
    private val reportedEndpoints = HashMap<InstanceId, Set<String>>()

    /** Replaces the load of [peer] on each endpoint and its workspaces' rates by those of [digest]. */
    fun onDigest(peer: InstanceId, digest: PeerDigest, nowMs: Long) {
        onEndpoints(peer, digest.endpoints, nowMs)
        val rates = digest.workspaces.map { (id, rate) ->
            WorkspaceId(id) to rate.toRate()
        }
        load.shares.onPeer(peer, rates.toMap(), nowMs)
    }

    private fun onEndpoints(peer: InstanceId, endpoints: Map<String, EndpointDigest>, nowMs: Long) {
        val previous = reportedEndpoints.put(peer, endpoints.keys).orEmpty()
        previous.forEach { id -> if (id !in endpoints) stateOf(id)?.engine?.onPeer(peer, LoadSummary.EMPTY, nowMs) }
        endpoints.forEach { (id, digest) ->
            stateOf(id)?.let { apply(peer, it, digest, nowMs) }
            digest.leavingAgeMs?.let { load.states.leaving.onPeer(EndpointId(id), digest.startedAtMs, it) }
        }
    }

    /** Ignores what another incarnation of the endpoint has cached and how fast it was. */
    private fun apply(peer: InstanceId, state: EndpointState, digest: EndpointDigest, nowMs: Long) {
        state.engine.onPeer(peer, digest.toSummary(), nowMs)
        digest.limit?.let { state.limit.onPeer(LimitObservation(it.requestsPerSecond, nowMs - it.ageMs)) }
        if (state.startedAtMs != digest.startedAtMs) return
        state.prefixes.onConfirmed(digest.cachedPrefixes, nowMs)
        state.onPeerPace(peer, digest, nowMs)
    }

    private fun stateOf(endpoint: String) = load.states.all()[EndpointId(endpoint)]
}

private fun EndpointDigest.toSummary() = LoadSummary(pendingPrefillTokens, running, kvCacheTokens)

private fun WorkspaceDigest.toRate() = WorkspaceRate(requested.toDouble(), granted.toDouble(), attempted.toDouble())
