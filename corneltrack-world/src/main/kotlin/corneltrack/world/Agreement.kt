package corneltrack.world

import kotlinx.serialization.Serializable

private const val DEFAULT_CAP = 0.5
private const val DEFAULT_WAITING_LIMIT = 1_000
private const val MAXIMUM_WEIGHT = 1_000.0
private const val MAXIMUM_WAITING_LIMIT = 1_000_000

/**
 * Defines the share of the fleet's capacity that a workspace is entitled to.
 *
 * @property weight the share of contended capacity relative to other workspaces, greater than 0.
 * @property cap the largest fraction of a cell's slots held while another workspace waits, in (0, 1].
 * @property waitingLimit the maximum number of requests that may wait in one router; further ones are refused.
 */
@Serializable
public data class Terms(
    val weight: Double = 1.0,
    val cap: Double = DEFAULT_CAP,
    val waitingLimit: Int = DEFAULT_WAITING_LIMIT,
) {
    /** Adds a finding for each value out of range, with a path below [path]. */
    public fun validate(path: String, findings: Findings) {
        findings.require(weight > 0 && weight <= MAXIMUM_WEIGHT, "$path.weight", "above 0, at most 1000", weight)
        findings.require(cap > 0 && cap <= 1, "$path.cap", "above 0, at most 1", cap)
        findings.require(waitingLimit in 1..MAXIMUM_WAITING_LIMIT, "$path.waitingLimit", "1..1000000", waitingLimit)
    }
}

/** Replaces the fleet-wide default terms for one workspace, for a written [reason]. */
@Serializable
public data class AgreementException(
    val workspace: WorkspaceId,
    val terms: Terms,
    val reason: String,
)

/** Holds the fleet-wide default terms and the exceptions to them. */
@Serializable
public data class Agreement(
    val default: Terms = Terms(),
    val exceptions: Map<WorkspaceId, AgreementException> = emptyMap(),
) {
    /** Returns the terms that apply to [workspace]. */
    public fun termsFor(workspace: WorkspaceId): Terms = exceptions[workspace]?.terms ?: default
}

/**
 * Describes a workspace that may send requests.
 *
 * @property keyHashes the SHA-256 hash of each API key of the workspace, in lower-case hexadecimal.
 */
@Serializable
public data class Workspace(
    val id: WorkspaceId,
    val keyHashes: Set<String>,
)
