package corneltrack.router.relay

import corneltrack.policy.placement.LoadSummary
import corneltrack.policy.placement.WorkspaceRate
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId

/**
 * Takes peers' digests into what this router believes of the fleet's load.
 *
 * Answers fleets in which each router hears many peers a second, each of which uses few endpoints: only endpoints that
 * a digest names, or that the peer's digest before reportedEndpoints, are looked at. Not thread-safe.
 */
internal class PeerLoads(private val load: FleetLoad) {
    private val reportedEndpoints = HashMap<InstanceId, Set<String>>()

    /** Takes in what [peer] has under way and what its workspaces ask for. */
    fun onDigest(peer: InstanceId, digest: PeerDigest, nowMs: Long) {
        onEndpoints(peer, digest.endpoints, nowMs)
        val rates = digest.workspaces.map { (id, rate) ->
            WorkspaceId(id) to WorkspaceRate(rate.requested.toDouble(), rate.granted.toDouble())
        }
        load.shares.onPeer(peer, rates.toMap(), nowMs)
    }

    private fun onEndpoints(peer: InstanceId, endpoints: Map<String, EndpointDigest>, nowMs: Long) {
        val previous = reportedEndpoints.put(peer, endpoints.keys).orEmpty()
        previous.forEach { id -> if (id !in endpoints) applyLoad(peer, id, LoadSummary.NOTHING, nowMs) }
        endpoints.forEach { (id, digest) -> applyLoad(peer, id, digest.toSummary(), nowMs) }
    }

    private fun applyLoad(peer: InstanceId, endpoint: String, summary: LoadSummary, nowMs: Long) {
        load.states.all()[EndpointId(endpoint)]?.engine?.onPeer(peer, summary, nowMs)
    }
}

private fun EndpointDigest.toSummary() = LoadSummary(pendingPrefillTokens, running, kvCacheTokens)
