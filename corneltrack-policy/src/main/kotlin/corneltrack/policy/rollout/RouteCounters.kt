package corneltrack.policy.rollout

/** The counters of one route, by version and time slice. */
internal class RouteCounters {
    val target: Array<SliceCounters> = Array(EVIDENCE_SLICES) { SliceCounters() }
    val baseline: Array<SliceCounters> = Array(EVIDENCE_SLICES) { SliceCounters() }

    private var cached: RouteEvidence? = null

    fun add(response: RolloutResponse, target: Boolean, slice: Int) {
        (if (target) this.target else baseline)[slice].add(response)
        cached = null
    }

    /** Returns the counts; the same object until a count changes, which lets a receiver skip it. */
    fun snapshot(route: String): RouteEvidence =
        cached ?: RouteEvidence(route, trimmed(target), trimmed(baseline)).also { cached = it }

    /** Adds what [after] counts beyond [before]. */
    fun addGrowth(before: RouteEvidence?, after: RouteEvidence) {
        addGrowth(target, before?.target.orEmpty(), after.target)
        addGrowth(baseline, before?.baseline.orEmpty(), after.baseline)
    }

    private fun addGrowth(to: Array<SliceCounters>, before: List<SliceEvidence>, after: List<SliceEvidence>) {
        for (slice in 0 until minOf(EVIDENCE_SLICES, after.size)) {
            val old = before.getOrNull(slice)
            if (old !== after[slice]) {
                old?.let { to[slice].add(it, sign = -1) }
                to[slice].add(after[slice], sign = 1)
            }
        }
    }

    private fun trimmed(slices: Array<SliceCounters>): List<SliceEvidence> =
        slices.map { it.snapshot() }.dropLastWhile { it.responses == 0 }
}

/** The counters of one version on one route within one time slice. */
internal class SliceCounters {
    var responses: Int = 0
        private set
    var failures: Int = 0
        private set
    val firstEvents: IntArray = IntArray(RATIO_BUCKETS)
    val pauses: IntArray = IntArray(RATIO_BUCKETS)
    private var cached: SliceEvidence? = null

    fun add(response: RolloutResponse) {
        responses++
        if (response.failed) failures++
        response.firstEventRatio?.let { firstEvents[ratioBucket(it)]++ }
        response.pauseRatio?.let { pauses[ratioBucket(it)]++ }
        cached = null
    }

    fun add(evidence: SliceEvidence, sign: Int) {
        responses += sign * evidence.responses
        failures += sign * evidence.failures
        evidence.firstEvents.addTo(firstEvents, sign)
        evidence.pauses.addTo(pauses, sign)
        cached = null
    }

    fun add(other: SliceCounters) {
        responses += other.responses
        failures += other.failures
        for (bucket in firstEvents.indices) {
            firstEvents[bucket] += other.firstEvents[bucket]
            pauses[bucket] += other.pauses[bucket]
        }
        cached = null
    }

    /** Returns the counts; the same object until a count changes, which lets a receiver skip it. */
    fun snapshot(): SliceEvidence =
        cached ?: SliceEvidence(responses, failures, ratioCounts(firstEvents), ratioCounts(pauses)).also { cached = it }
}

private fun RatioCounts.addTo(buckets: IntArray, sign: Int) {
    for ((index, count) in counts.withIndex()) {
        val bucket = first + index
        if (bucket in buckets.indices) buckets[bucket] += sign * count
    }
}

private fun ratioCounts(buckets: IntArray): RatioCounts {
    val first = buckets.indexOfFirst { it != 0 }
    if (first < 0) return RatioCounts()
    return RatioCounts(first, buckets.slice(first..buckets.indexOfLast { it != 0 }))
}
