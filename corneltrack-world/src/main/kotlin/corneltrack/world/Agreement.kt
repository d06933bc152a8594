package corneltrack.world

import kotlinx.serialization.Serializable

private const val DEFAULT_CAP = 0.5
private const val DEFAULT_WAITING_LIMIT = 1_000
private const val MAXIMUM_WEIGHT = 1_000.0
private const val MAXIMUM_WAITING_LIMIT = 1_000_000

/**
 * States what one workspace is due.
 *
 * @property weight the share of contended capacity relative to other workspaces, greater than 0.
 * @property cap the largest fraction of a cell's slots held while another workspace waits, in (0, 1].
 * @property waitingLimit the most requests that may wait in one router before further ones are refused.
 */
@Serializable
public data class Terms(
    val weight: Double = 1.0,
    val cap: Double = DEFAULT_CAP,
    val waitingLimit: Int = DEFAULT_WAITING_LIMIT,
) {
    /** Adds a finding below [path] for each value out of range. */
    public fun validate(path: String, findings: Findings) {
        findings.require(weight > 0 && weight <= MAXIMUM_WEIGHT, "$path.weight", "above 0, at most 1000", weight)
        findings.require(cap > 0 && cap <= 1, "$path.cap", "above 0, at most 1", cap)
        findings.require(waitingLimit in 1..MAXIMUM_WAITING_LIMIT, "$path.waitingLimit", "1..1000000", waitingLimit)
    }
}

/** Replaces the fleet-wide default for one workspace, for a written [reason]. */
@Serializable
public data class AgreementException(
    val workspace: WorkspaceId,
    val terms: Terms,
    val reason: String,
)

/** Holds the fleet-wide default and the exceptions to it. */
@Serializable
public data class Agreement(
    val default: Terms = Terms(),
    val exceptions: Map<WorkspaceId, AgreementException> = emptyMap(),
) {
    /** Returns the terms in force for [workspace]. */
    public fun termsFor(workspace: WorkspaceId): Terms = exceptions[workspace]?.terms ?: default
}

/**
 * Describes a workspace that may call.
 *
 * @property keyHashes SHA-256 of each API key that proves the workspace, in lower-case hexadecimal.
 */
@Serializable
public data class Workspace(
    val id: WorkspaceId,
    val keyHashes: Set<String>,
)
