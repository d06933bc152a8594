package corneltrack.policy.discovery

import corneltrack.world.EndpointId

/** Far more endpoints than leave within the time for which an outdated list may still name them. */
private const val MAXIMUM_REMEMBERED = 1_024

/** Where a router learned that an endpoint leaves. */
public enum class LeavingSource {
    /** A response of the endpoint to this router. */
    RESPONSE,

    /** Another router, which had such a response. */
    PEER,
}

/**
 * Remembers which endpoints have said in a response that they leave.
 *
 * Answers a store that is away or behind: an endpoint that leaves gets nothing more, whatever the list says of it. It
 * is remembered until a later incarnation takes its place; the oldest is forgotten beyond [MAXIMUM_REMEMBERED]. Not
 * thread-safe.
 *
 * @param onLearned called when an endpoint is first known to leave, with the source and the age of the response in ms.
 */
public class LeavingEndpoints(
    private val onLearned: (endpoint: EndpointId, source: LeavingSource, ageMs: Long) -> Unit = { _, _, _ -> },
) {
    /** @property lastResponseMs when a response to this router last said so, or null if only a peer has told. */
    private class Leaving(val startedAtMs: Long, val lastResponseMs: Long?)

    private val leaving = object : LinkedHashMap<EndpointId, Leaving>() {
        override fun removeEldestEntry(eldest: Map.Entry<EndpointId, Leaving>): Boolean = size > MAXIMUM_REMEMBERED
    }

    /** Records a response of the incarnation of [endpoint] that started at [startedAtMs]. */
    public fun onResponse(endpoint: EndpointId, startedAtMs: Long, nowMs: Long): Unit =
        learn(endpoint, Leaving(startedAtMs, nowMs), LeavingSource.RESPONSE, ageMs = 0)

    /** Records that a peer had such a response [ageMs] ago. */
    public fun onPeer(endpoint: EndpointId, startedAtMs: Long, ageMs: Long) {
        if (!isLeaving(endpoint, startedAtMs)) learn(endpoint, Leaving(startedAtMs, null), LeavingSource.PEER, ageMs)
    }

    /** Returns whether the incarnation of [endpoint] that started at [startedAtMs], or a later one, leaves. */
    public fun isLeaving(endpoint: EndpointId, startedAtMs: Long): Boolean {
        val known = leaving[endpoint] ?: return false
        return startedAtMs <= known.startedAtMs
    }

    /** Returns the age in ms of the last response to this router that said so, or null if above [maximumAgeMs]. */
    public fun recentResponseAgeMs(endpoint: EndpointId, startedAtMs: Long, nowMs: Long, maximumAgeMs: Long): Long? {
        val known = leaving[endpoint]?.takeIf { it.startedAtMs == startedAtMs }
        return known?.lastResponseMs?.let { nowMs - it }?.takeIf { it <= maximumAgeMs }
    }

    private fun learn(endpoint: EndpointId, learned: Leaving, source: LeavingSource, ageMs: Long) {
        val known = leaving[endpoint]
        if (known != null && known.startedAtMs > learned.startedAtMs) return
        leaving[endpoint] = learned
        if (known?.startedAtMs != learned.startedAtMs) onLearned(endpoint, source, ageMs)
    }
}
