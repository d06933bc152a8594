package corneltrack.policy

import corneltrack.world.InstanceId

/**
 * The times that limit leases and support.
 *
 * @property leaseMs the maximum time for which a router may start requests on lent slots, in ms.
 * @property countedSupportMs how long an allocator relies on a router's support, in ms. At most [supportMs] minus the
 * clock drift in that time.
 * @property supportMs how long a router supports an allocator after its last report to it, in ms.
 * @property reportLagMs the maximum lag of endpoints' reports, in ms.
 */
public data class LeaseTimes(
    val leaseMs: Long = 3_400,
    val countedSupportMs: Long = 3_500,
    val supportMs: Long = 3_800,
    val reportLagMs: Long = 1_500,
)

/**
 * Tracks the routers of the home group that support an allocator, at that allocator. Not thread-safe.
 *
 * The allocator counts support from the time in its own token that the router echoed, which is before the time from
 * which the router counts. A router therefore never supports two allocators that both rely on it.
 */
public class Supporters(private val times: LeaseTimes) {
    private val supportedUntilMs = HashMap<InstanceId, Long>()
    private val listedUntilMs = HashMap<InstanceId, Long>()

    /** Records a report with support from [from], whose echoed token was issued at [tokenMs]. */
    public fun onSupport(from: InstanceId, tokenMs: Long) {
        supportedUntilMs.merge(from, tokenMs + times.countedSupportMs, ::maxOf)
    }

    /** Updates the home group. A removed member counts as listed for one more support period. */
    public fun onHomeGroup(homeGroup: Set<InstanceId>, nowMs: Long) {
        homeGroup.forEach { listedUntilMs[it] = nowMs + times.supportMs }
        listedUntilMs.values.removeIf { it <= nowMs }
    }

    /** Returns the listed routers that support this allocator at [nowMs]. */
    public fun supporting(nowMs: Long): Set<InstanceId> =
        supportedUntilMs.filterTo(HashMap()) { (id, untilMs) -> untilMs > nowMs && id in listedUntilMs }.keys

    /** Returns the number of routers that count as listed. */
    public fun listedCount(nowMs: Long): Int = listedRouters(nowMs).size

    /** Returns the routers that count as listed. */
    public fun listedRouters(nowMs: Long): Set<InstanceId> = listedUntilMs.filterValues { it > nowMs }.keys

    /** Returns the time at which the first current support expires, or [nowMs] if there is none. */
    public fun firstExpiryMs(nowMs: Long): Long =
        supporting(nowMs).minOfOrNull { supportedUntilMs.getValue(it) } ?: nowMs
}

/**
 * Tracks the one allocator that a router supports in a cell, at that router. Not thread-safe.
 *
 * @param startMs when this incarnation started, in ms of the router's clock. No allocator is supported for one support
 * period after it, because another one may still rely on the support of the previous incarnation.
 */
public class Support(private val times: LeaseTimes, startMs: Long) {
    private var allocator: InstanceId? = null
    private var mayChangeFromMs = startMs + times.supportMs

    /** The allocator that was supported last, or null if there is none. */
    public val current: InstanceId? get() = allocator

    /** Returns whether [candidate] may be supported at [nowMs]: it already is, or the earlier support has expired. */
    public fun allows(candidate: InstanceId, nowMs: Long): Boolean =
        candidate == allocator || nowMs >= mayChangeFromMs

    /** Records that a report with support is sent to [candidate] at [nowMs], which must be allowed by [allows]. */
    public fun extend(candidate: InstanceId, nowMs: Long) {
        allocator = candidate
        mayChangeFromMs = maxOf(mayChangeFromMs, nowMs + times.supportMs)
    }

    /** Ends the support of [released], which shuts down, at [endMs], when all its leases have expired. */
    public fun release(released: InstanceId, endMs: Long) {
        if (released == allocator) {
            mayChangeFromMs = minOf(mayChangeFromMs, endMs)
        }
    }
}
