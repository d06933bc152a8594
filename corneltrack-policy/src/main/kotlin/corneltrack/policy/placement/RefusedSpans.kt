package corneltrack.policy.placement

import corneltrack.world.WorkspaceId

/** The part of what a workspace requests that is granted at least, unless most of it is refused. */
private const val MOSTLY_GRANTED_FRACTION = 0.5

/** Within the objectives of most routes; an overload that has just begun may be a pause. */
private const val MINIMUM_RETRY_MS = 100L

/** A caller that would wait longer is better off to give up. */
private const val MAXIMUM_RETRY_MS = 4_000L

/** Spreads the retries of callers that were refused at the same time over as long as they wait on average. */
private const val LEAST_RETRY_FRACTION = 0.5

/** Measures for how long most of what a workspace requests has been refused in the fleet. Not thread-safe. */
public class RefusedSpans {
    private val sinceMs = HashMap<WorkspaceId, Long>()

    /** Records the [rates] of the whole fleet. */
    internal fun update(rates: Map<WorkspaceId, WorkspaceRate>, nowMs: Long) {
        val refused = rates.filterValues { it.granted < MOSTLY_GRANTED_FRACTION * it.requested }.keys
        sinceMs.keys.retainAll(refused)
        refused.forEach { sinceMs.putIfAbsent(it, nowMs) }
    }

    /** Returns for how long most requests of [workspace] have been refused, in ms; 0 if they are not. */
    public fun spanMs(workspace: WorkspaceId, nowMs: Long): Long = sinceMs[workspace]?.let { nowMs - it } ?: 0
}

/**
 * Returns after how many ms a caller should retry that an overloaded router refuses.
 *
 * An overload of unknown length is expected to last about as long again as it has lasted. Callers that come back sooner
 * are mostly refused again, and reading their retries takes the router's processor from requests that it could place.
 *
 * @param refusedForMs for how long most requests of the caller's workspace have been refused.
 * @param random a random number in 0..1.
 */
public fun overloadRetryMs(refusedForMs: Long, random: Double): Long =
    ((LEAST_RETRY_FRACTION + random) * refusedForMs).toLong().coerceIn(MINIMUM_RETRY_MS, MAXIMUM_RETRY_MS)
