package corneltrack.policy

import corneltrack.world.InstanceId

/**
 * Bounds the times of leases and support.
 *
 * @property leaseMs the longest time for which a router may start work on lent slots, in ms.
 * @property countedSupportMs how long an allocator counts on a router's support, in ms; at most [supportMs] less clock drift.
 * @property supportMs how long a router keeps supporting an allocator after its last report to it, in ms.
 * @property reportLagMs the lag of endpoints' reports, in ms.
 */
public data class LeaseTimes(
    val leaseMs: Long = 3_400,
    val countedSupportMs: Long = 3_500,
    val supportMs: Long = 3_800,
    val reportLagMs: Long = 1_500,
)

/**
 * Keeps, at an allocator, the routers of the home group that support it. Not thread-safe.
 *
 * Support is counted from the moment named by the allocator's own echoed token, which lies before the moment from
 * which the router counts. A router therefore never supports two allocators that both count on it.
 */
public class Supporters(private val times: LeaseTimes) {
    private val supportedUntilMs = HashMap<InstanceId, Long>()
    private val listedUntilMs = HashMap<InstanceId, Long>()

    /** Takes in a supporting report of [from] whose echoed token was issued at [tokenMs]. */
    public fun onSupport(from: InstanceId, tokenMs: Long) {
        supportedUntilMs.merge(from, tokenMs + times.countedSupportMs, ::maxOf)
    }

    /** Takes in the [homeGroup] group as listed now. A member counts as listed for one support period after it is gone. */
    public fun onHomeGroup(homeGroup: Set<InstanceId>, nowMs: Long) {
        homeGroup.forEach { listedUntilMs[it] = nowMs + times.supportMs }
        listedUntilMs.values.removeIf { it <= nowMs }
    }

    /** Returns the listed routers that support this allocator at [nowMs]. */
    public fun supporting(nowMs: Long): Set<InstanceId> =
        supportedUntilMs.filterTo(HashMap()) { (id, untilMs) -> untilMs > nowMs && id in listedUntilMs }.keys

    /** Returns the number of routers counted as listed. */
    public fun listedCount(nowMs: Long): Int = listedRouters(nowMs).size

    /** Returns the routers counted as listed. */
    public fun listedRouters(nowMs: Long): Set<InstanceId> = listedUntilMs.filterValues { it > nowMs }.keys

    /** Returns the moment at which the first of the present supporters lapses, or [nowMs] where there is none. */
    public fun firstExpiryMs(nowMs: Long): Long = supporting(nowMs).minOfOrNull { supportedUntilMs.getValue(it) } ?: nowMs
}

/**
 * Keeps, at a router, the one allocator that it supports in a cell. Not thread-safe.
 *
 * @param startMs when this incarnation began; nobody is supported for one support period after it, since the previous
 * incarnation's support may still be counted on.
 */
public class Support(private val times: LeaseTimes, startMs: Long) {
    private var allocator: InstanceId? = null
    private var mayChangeFromMs = startMs + times.supportMs

    /** The allocator supported last, or null. */
    public val current: InstanceId? get() = allocator

    /** Returns whether [candidate] may be supported at [nowMs]: it is already, or the former support has lapsed. */
    public fun allows(candidate: InstanceId, nowMs: Long): Boolean =
        candidate == allocator || nowMs >= mayChangeFromMs

    /** Records that a report with support leaves for [candidate] at [nowMs]. The caller has seen it [allows]-ed. */
    public fun extend(candidate: InstanceId, nowMs: Long) {
        allocator = candidate
        mayChangeFromMs = maxOf(mayChangeFromMs, nowMs + times.supportMs)
    }

    /** Lets the support of the leaving allocator [released] end at [endMs], when all its leases have ended. */
    public fun release(released: InstanceId, endMs: Long) {
        if (released == allocator) {
            mayChangeFromMs = minOf(mayChangeFromMs, endMs)
        }
    }
}
