package corneltrack.router.relay

import corneltrack.policy.limits.EventLoopLag
import corneltrack.policy.placement.FairShareTracker
import corneltrack.policy.placement.FairShareView
import corneltrack.router.callers.CallerConnections
import corneltrack.router.callers.HeldKind
import corneltrack.router.callers.Refusal
import corneltrack.router.callers.ShedReason
import corneltrack.wire.event
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** The interval between two reports, in ms. */
internal const val LOAD_REPORT_INTERVAL_MS: Long = 1_000

private val logger = LogManager.getLogger("corneltrack.router.relay.LoadReport")

/**
 * Logs how loaded the router was in the last second, if it refused requests at admission, and updates the gauges.
 *
 * Tells apart why a router refuses: whether it reads late, whether its callers open a connection for each request or
 * repeat on open ones, how many requests it places meanwhile, and how many peers the fair share that it goes by covers.
 * Confined to the event loop.
 */
internal class LoadReport(
    private val eventLoopLag: EventLoopLag,
    private val connections: CallerConnections,
    private val shares: FairShareTracker,
    private val metrics: RelayMetrics,
) {
    private val refused = LinkedHashMap<String, Int>()
    private var longestLagMs = 0L
    private var placed = 0
    private var acceptedBefore = 0L
    private var requestsBefore = 0L
    private var shedBefore = emptyMap<ShedReason, Long>()

    /** Counts a request refused at admission. */
    fun onRefused(refusal: Refusal) {
        refused.merge(refusal.code, 1, Int::plus)
    }

    /** Counts a request for which an endpoint was found. */
    fun onPlaced() {
        placed++
    }

    /** Records the lag of the event loop at a sample. */
    fun onLagSample(nowMs: Long) {
        longestLagMs = maxOf(longestLagMs, eventLoopLag.lagMs(nowMs))
    }

    /** Logs the load since the last report, unless nothing was refused, and updates the gauges. */
    fun report(peers: Int, nowMs: Long) {
        val share = shares.view(nowMs)
        metrics.onLoad(load(share))
        if (refused.isNotEmpty()) {
            logger.event("router_load") {
                field("lag_ms", longestLagMs)
                field("connections", connections.openCount)
                field("accepted", connections.acceptedTotal - acceptedBefore)
                field("read", connections.requestsTotal - requestsBefore)
                field("placed", placed)
                field("requests", connections.pendingRequests)
                field("peers", peers)
                field("reporting_peers", share.reportingPeers)
                field("fair_share", share.tokensPerSecond.takeIf { it.isFinite() }?.toLong())
                refused.forEach { (reason, count) -> field(reason, count) }
            }
        }
        reportShed()
        refused.clear()
        longestLagMs = 0
        placed = 0
        acceptedBefore = connections.acceptedTotal
        requestsBefore = connections.requestsTotal
    }

    /** Logs which connections were refused or cut off for what they hold, in one line. */
    private fun reportShed() {
        val totals = connections.shed.totals()
        val added = totals.mapValues { (reason, total) -> total - (shedBefore[reason] ?: 0) }.filterValues { it > 0 }
        shedBefore = totals
        if (added.isEmpty()) return
        added.forEach(metrics.callers::onShed)
        logger.event("callers_shed", Level.WARN) {
            added.forEach { (reason, count) -> field(reason.name.lowercase(), count) }
            HeldKind.entries.forEach { field("${it.name.lowercase()}_bytes", connections.memory.heldBytes(it)) }
            field("connections", connections.openCount)
        }
    }

    private fun load(share: FairShareView) =
        RouterLoad(longestLagMs, connections.openCount, connections.pendingRequests, share.reportingPeers)
}

/**
 * Holds the load of a router.
 *
 * @property lagMs the longest lag of the event loop since the last report, in ms.
 * @property connections the open connections of callers.
 * @property requests the requests whose response has not been written completely.
 * @property reportingPeers the peers whose rates are part of the fair share.
 */
internal data class RouterLoad(val lagMs: Long, val connections: Int, val requests: Int, val reportingPeers: Int)
