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
 * @property slots the requests that it runs at once, or null if not stated.
 */
public data class PaceReport(val active: Int, val pace: Double, val observedMs: Long, val slots: Int? = null)

/** Holds what the paces and loads of all endpoints of a pool have in common. */
public class PoolReports {
    /** What a stated pace is worth by its age. */
    public val paces: ReportCorrelation = ReportCorrelation()

    /** What a stated number of requests is worth by its age. */
    public val loads: ReportCorrelation = ReportCorrelation()

    /** The mean service time, from which an endpoint without samples starts. */
    internal val serviceTimes: PoolMean = PoolMean()
}

/**
 * Estimates the pace, the requests of other routers and the service time of an endpoint that states its pace.
 *
 * Not thread-safe.
 */
public class PacedLoad(pool: PoolReports = PoolReports()) {
    private val others = ReportedFigure(0.0, pool.loads)
    private val own = LearntSpeed(0.0, 0)
    private val serviceTime = SharedSpeed(pool.serviceTimes, own)

    /** The pace, as a multiple of the usual time of work. */
    public val pace: ReportedFigure = ReportedFigure(1.0, pool.paces)

    /** The last report that this router received itself, or null. */
    public var ownReport: PaceReport? = null
        private set

    /** What this router itself has learnt of the time that a request takes at a pace of 1, in ms. */
    public val ownServiceTime: LearntSpeed get() = own

    /**
     * What this router and its peers have learnt of the time that a request takes at a pace of 1, in ms. The mean of
     * the pool for an endpoint without samples, null for a pool without any.
     */
    public val serviceTimeMs: Double? get() = serviceTime.value

    /** Records a report that came with a response to this router, which has [running] requests there. */
    public fun onOwnReport(report: PaceReport, running: Int) {
        val bounded = report.copy(pace = report.pace.coerceIn(MINIMUM_PACE, MAXIMUM_PACE))
        ownReport = bounded
        onReport(bounded, running)
    }

    /** Records a report that [peer] received, and the service time that it has [learnt]. */
    public fun onPeer(peer: InstanceId, report: PaceReport, learnt: LearntSpeed, running: Int) {
        serviceTime.onPeer(peer, learnt, report.observedMs)
        onReport(report.copy(pace = report.pace.coerceIn(MINIMUM_PACE, MAXIMUM_PACE)), running)
    }

    /** Records a response that took the endpoint [elapsedMs], as the last own report of the endpoint explains it. */
    public fun onResponse(elapsedMs: Long) {
        val report = ownReport ?: return
        val rounds = if (report.slots == null) 1.0 else maxOf(1.0, report.active.toDouble() / maxOf(1, report.slots))
        serviceTime.onSample(elapsedMs / (report.pace * rounds), own.nextWeight(SMOOTHING), MAXIMUM_SAMPLES)
    }

    /** Returns the requests of other routers that are expected to run or wait at the endpoint. */
    public fun othersAt(nowMs: Long): Double = maxOf(0.0, others.at(nowMs))

    /** Removes the endpoint, which is gone or has restarted, from the pool's mean. */
    public fun leavePool(): Unit = serviceTime.forget()

    private fun onReport(report: PaceReport, running: Int) {
        val newer = pace.onReport(report.pace, report.observedMs)
        if (newer) others.onReport(maxOf(0, report.active - running).toDouble(), report.observedMs)
    }
}
