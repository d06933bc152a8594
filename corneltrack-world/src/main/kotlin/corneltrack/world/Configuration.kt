package corneltrack.world

import kotlinx.serialization.Serializable

private const val HISTORY_LIMIT = 200
private const val NO_OFFSET = -1L

/** Tells what became of a change record. */
@Serializable
public enum class Verdict { ACCEPTED, LOST_RACE, INVALID }

/** One line of the audit trail: who changed what, when and why, with the state before and after. */
@Serializable
public data class AuditEntry(
    val offset: Long,
    val record: ChangeRecord,
    val verdict: Verdict,
    val before: String,
    val after: String,
    val findings: List<Finding> = emptyList(),
)

/**
 * Holds the fleet's configuration as of [offset] in the configuration stream.
 *
 * The state is a deterministic fold of the stream; two routers at the same offset hold equal states.
 *
 * @property version the offset of the last accepted change, or -1.
 * @property subjectVersions the offset of the last accepted change of each subject.
 * @property history the most recent audit entries, oldest first.
 */
@Serializable
public data class Configuration(
    val offset: Long = NO_OFFSET,
    val version: Long = NO_OFFSET,
    val agreement: Agreement = Agreement(),
    val workspaces: Map<WorkspaceId, Workspace> = emptyMap(),
    val pools: Map<PoolId, Pool> = emptyMap(),
    val takenOut: Set<Target> = emptySet(),
    val subjectVersions: Map<String, Long> = emptyMap(),
    val history: List<AuditEntry> = emptyList(),
) {
    /** Whether any record has been applied. A router without configuration refuses all work. */
    val loaded: Boolean get() = offset > NO_OFFSET

    /** Returns whether operators have taken the endpoint or its data centre out of service. */
    public fun isOutOfService(endpoint: Endpoint): Boolean =
        Target(TargetKind.ENDPOINT, endpoint.id.value) in takenOut || isOutOfService(endpoint.dataCentre)

    /** Returns whether operators have taken the data centre out of service. */
    public fun isOutOfService(dataCentre: DataCentreId): Boolean =
        Target(TargetKind.DATA_CENTRE, dataCentre.value) in takenOut

    /** Returns whether operators have taken the instance or its data centre out of service. */
    public fun isOutOfService(instance: Instance): Boolean =
        Target(TargetKind.INSTANCE, instance.id.value) in takenOut || isOutOfService(instance.dataCentre)

    /**
     * Applies the entry found at [entryOffset].
     *
     * Offsets only move forward: an entry at or below [offset] leaves the state as it is.
     */
    public fun apply(entryOffset: Long, entry: ConfigurationEntry): Configuration = when {
        entryOffset <= offset -> this
        entry is ChangeRecord -> applyChange(entryOffset, entry)
        else -> copy(offset = entryOffset)
    }

    private fun applyChange(entryOffset: Long, record: ChangeRecord): Configuration {
        if (history.any { it.record.changeId == record.changeId }) {
            return copy(offset = entryOffset)
        }
        val findings = record.validate(this)
        val verdict = when {
            findings.isNotEmpty() -> Verdict.INVALID
            (subjectVersions[record.change.subject] ?: NO_OFFSET) > record.basedOn -> Verdict.LOST_RACE
            else -> Verdict.ACCEPTED
        }
        val next = if (verdict == Verdict.ACCEPTED) accept(entryOffset, record.change) else this
        val before = describe(record.change)
        val audit = AuditEntry(entryOffset, record, verdict, before, next.describe(record.change), findings)
        return next.copy(offset = entryOffset, history = (history + audit).takeLast(HISTORY_LIMIT))
    }

    private fun accept(entryOffset: Long, change: Change): Configuration =
        changed(change).copy(version = entryOffset, subjectVersions = subjectVersions + (change.subject to entryOffset))
}

private fun Configuration.changed(change: Change): Configuration = when (change) {
    is SetDefault -> copy(agreement = agreement.copy(default = change.terms))
    is SetException -> copy(agreement = agreement.with(change.exception))
    is RemoveException -> copy(agreement = agreement.copy(exceptions = agreement.exceptions - change.workspace))
    is PutWorkspace -> copy(workspaces = workspaces + (change.workspace.id to change.workspace))
    is PutPool -> copy(pools = pools + (change.pool.id to change.pool))
    is TakeOut -> copy(takenOut = takenOut + change.target)
    is BringBack -> copy(takenOut = takenOut - change.target)
}

private fun Agreement.with(exception: AgreementException): Agreement =
    copy(exceptions = exceptions + (exception.workspace to exception))

private fun Configuration.describe(change: Change): String = when (change) {
    is SetDefault -> agreement.default.toString()
    is SetException -> describeException(change.exception.workspace)
    is RemoveException -> describeException(change.workspace)
    is PutWorkspace -> workspaces[change.workspace.id]?.let { "keys=${it.keyHashes.size}" } ?: "absent"
    is PutPool -> pools[change.pool.id]?.toString() ?: "absent"
    is TakeOut -> describeService(change.target)
    is BringBack -> describeService(change.target)
}

private fun Configuration.describeException(workspace: WorkspaceId): String =
    agreement.exceptions[workspace]?.toString() ?: "default"

private fun Configuration.describeService(target: Target): String = if (target in takenOut) "out" else "in service"
