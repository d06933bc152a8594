package corneltrack.policy.placement

import corneltrack.world.InstanceId

/** The weight of a new sample in the average, and the samples that the average stands for. */
private const val SMOOTHING = 0.05
private const val MAXIMUM_SAMPLES = 20

/** The bounds of a pace that is believed, so that one odd report does not rule an endpoint out for good. */
private const val MINIMUM_PACE = 0.1
private const val MAXIMUM_PACE = 20.0

/**
 * Describes what an endpoint stated about itself with a response.
 *
 * @property active the requests, running or queued, from all routers.
 * @property pace how long work takes, as a multiple of the usual time.
 * @property observedMs when the response came.
 */
public data class PaceReport(val active: Int, val pace: Double, val observedMs: Long)

/** Holds what the paces and loads of all endpoints of a pool have in common. */
public class PoolReports {
    /** What a stated pace is worth by its age. */
    public val paces: ReportCorrelation = ReportCorrelation()

    /** What a stated number of requests is worth by its age. */
    public val loads: ReportCorrelation = ReportCorrelation()
}

/**
 * Estimates the pace, the requests of other routers and the service time of an endpoint that states its pace.
 *
 * Not thread-safe.
 */
public class PacedLoad(pool: PoolReports = PoolReports()) {
    private val peers = HashMap<InstanceId, LearntSpeed>()
    private val others = ReportedFigure(0.0, pool.loads)
    private val own = LearntSpeed(0.0, 0)

    /** The pace, as a multiple of the usual time of work. */
    public val pace: ReportedFigure = ReportedFigure(1.0, pool.paces)

    /** The last report that this router received itself, or null. */
    public var ownReport: PaceReport? = null
        private set

    /** What this router itself has learnt of the time that a request takes at a pace of 1, in ms. */
    public val ownServiceTime: LearntSpeed get() = own

    /** What this router and its peers have learnt of the time that a request takes at a pace of 1; null for nothing. */
    public val serviceTimeMs: Double? get() = mergedSpeed(peers.values + own)

    /** Records a report that came with a response to this router, which has [running] requests there. */
    public fun onOwnReport(report: PaceReport, running: Int) {
        val bounded = report.copy(pace = report.pace.coerceIn(MINIMUM_PACE, MAXIMUM_PACE))
        ownReport = bounded
        onReport(bounded, running)
    }

    /** Records a report that [peer] received, and the [serviceTime] that it has learnt. */
    public fun onPeer(peer: InstanceId, report: PaceReport, serviceTime: LearntSpeed, running: Int) {
        peers[peer] = serviceTime
        onReport(report.copy(pace = report.pace.coerceIn(MINIMUM_PACE, MAXIMUM_PACE)), running)
    }

    /** Records a response that took the endpoint [elapsedMs], as the last own report of the endpoint explains it. */
    public fun onResponse(elapsedMs: Long, concurrency: Int) {
        val report = ownReport ?: return
        val rounds = maxOf(1.0, report.active.toDouble() / concurrency)
        own.onSample(elapsedMs / (report.pace * rounds), SMOOTHING, MAXIMUM_SAMPLES)
    }

    /** Returns the requests of other routers that are expected to run or wait at the endpoint. */
    public fun othersAt(nowMs: Long): Double = maxOf(0.0, others.at(nowMs))

    private fun onReport(report: PaceReport, running: Int) {
        val newer = pace.onReport(report.pace, report.observedMs)
        if (newer) others.onReport(maxOf(0, report.active - running).toDouble(), report.observedMs)
    }
}
