package corneltrack.testbed

import corneltrack.world.WorkspaceId

/** Holds the service that each workspace had received by [atMs], in tokens. */
public data class ServiceSample(val atMs: Long, val served: Map<WorkspaceId, Long>)

/**
 * Returns the fairness gap: the largest change, over any interval of [samples], of the difference in normalised service
 * between two workspaces, in tokens divided by weight.
 *
 * All workspaces must be backlogged throughout.
 *
 * @param weightOf returns the weight of a workspace under the agreement.
 */
public fun fairnessGap(samples: List<ServiceSample>, weightOf: (WorkspaceId) -> Double = { 1.0 }): Double {
    val workspaces = samples.lastOrNull()?.served?.keys.orEmpty().sorted()
    return workspaces.indices.flatMap { first -> (first + 1 until workspaces.size).map { first to it } }
        .maxOfOrNull { (first, second) -> pairGap(samples, workspaces[first], workspaces[second], weightOf) } ?: 0.0
}

private fun pairGap(
    samples: List<ServiceSample>,
    one: WorkspaceId,
    other: WorkspaceId,
    weightOf: (WorkspaceId) -> Double,
): Double {
    val differences = samples.map { sample ->
        (sample.served[one] ?: 0) / weightOf(one) - (sample.served[other] ?: 0) / weightOf(other)
    }
    return differences.max() - differences.min()
}
