package corneltrack.policy.rollout

/** Returns whether the counters are in the range that this version of the router writes. */
internal fun RouteEvidence.isValid(): Boolean =
    maxOf(target.size, baseline.size) <= EVIDENCE_SLICES && (target + baseline).all { it.isValid() }

private fun SliceEvidence.isValid(): Boolean =
    failures in 0..responses && listOf(firstEvents, pauses).all { ratios ->
        ratios.first >= 0 && ratios.first + ratios.counts.size <= RATIO_BUCKETS && ratios.counts.all { it >= 0 }
    }

/** Returns the larger of each pair of counters. */
internal fun RouteEvidence.largerOf(other: RouteEvidence): RouteEvidence =
    RouteEvidence(route, largerOf(target, other.target), largerOf(baseline, other.baseline))

private fun largerOf(one: List<SliceEvidence>, other: List<SliceEvidence>): List<SliceEvidence> =
    List(maxOf(one.size, other.size)) { slice ->
        val first = one.getOrNull(slice)
        val second = other.getOrNull(slice)
        if (first == null || second == null) checkNotNull(first ?: second) else first.largerOf(second)
    }

private fun SliceEvidence.largerOf(other: SliceEvidence): SliceEvidence =
    if (this === other || this == other) {
        this
    } else {
        SliceEvidence(
            responses = maxOf(responses, other.responses),
            failures = maxOf(failures, other.failures),
            firstEvents = firstEvents.largerOf(other.firstEvents),
            pauses = pauses.largerOf(other.pauses),
        )
    }

private fun RatioCounts.largerOf(other: RatioCounts): RatioCounts =
    if (counts.isEmpty() || this == other) {
        other
    } else if (other.counts.isEmpty()) {
        this
    } else {
        val start = minOf(first, other.first)
        val end = maxOf(first + counts.size, other.first + other.counts.size)
        RatioCounts(start, List(end - start) { maxOf(at(start + it), other.at(start + it)) })
    }

private fun RatioCounts.at(bucket: Int): Int = counts.getOrElse(bucket - first) { 0 }
