package corneltrack.world

import kotlinx.serialization.Serializable

private const val HISTORY_LIMIT = 200
private const val NO_OFFSET = -1L

/** The outcome of a change record. */
@Serializable
public enum class Verdict {
    /** The change has been applied. */
    ACCEPTED,

    /** The record is based on a version before the latest change of the same subject; it changes nothing. */
    LOST_RACE,

    /** The record has findings; it changes nothing. */
    INVALID,
}

/**
 * Records the outcome of one change in the audit trail.
 *
 * @property offset the offset of the record in the configuration stream.
 * @property before the state of the changed subject before the record.
 * @property after the state of the changed subject after the record.
 * @property findings the reasons for [Verdict.INVALID].
 */
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
 * The state is a deterministic fold of the stream, so two routers at the same offset hold equal states.
 *
 * @property offset the offset of the last entry applied, or -1 if there is none.
 * @property version the offset of the last accepted change, or -1 if there is none.
 * @property takenOut what operators have taken out of service.
 * @property subjectVersions the offset of the last accepted change of each subject.
 * @property history the latest audit entries, oldest first.
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
    /** Whether any entry has been applied. A router refuses all requests until then. */
    val loaded: Boolean get() = offset > NO_OFFSET

    /** Whether operators have taken the endpoint or its data centre out of service. */
    public fun isOutOfService(endpoint: Endpoint): Boolean =
        Target(TargetKind.ENDPOINT, endpoint.id.value) in takenOut || isOutOfService(endpoint.dataCentre)

    /** Whether operators have taken the data centre out of service. */
    public fun isOutOfService(dataCentre: DataCentreId): Boolean =
        Target(TargetKind.DATA_CENTRE, dataCentre.value) in takenOut

    /** Whether operators have taken the instance or its data centre out of service. */
    public fun isOutOfService(instance: Instance): Boolean =
        Target(TargetKind.INSTANCE, instance.id.value) in takenOut || isOutOfService(instance.dataCentre)

    /**
     * Returns the state after [entry], which is at [entryOffset] in the stream.
     *
     * An entry at or below [offset] has already been applied and changes nothing.
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
        withChange(change)
            .copy(version = entryOffset, subjectVersions = subjectVersions + (change.subject to entryOffset))
}

private fun Configuration.withChange(change: Change): Configuration = when (change) {
    is SetDefault -> copy(agreement = agreement.copy(default = change.terms))
    is SetException -> copy(agreement = agreement.withException(change.exception))
    is RemoveException -> copy(agreement = agreement.copy(exceptions = agreement.exceptions - change.workspace))
    is PutWorkspace -> copy(workspaces = workspaces + (change.workspace.id to change.workspace))
    is PutPool -> copy(pools = pools + (change.pool.id to change.pool))
    is TakeOut -> copy(takenOut = takenOut + change.target)
    is BringBack -> copy(takenOut = takenOut - change.target)
}

private fun Agreement.withException(exception: AgreementException): Agreement =
    copy(exceptions = exceptions + (exception.workspace to exception))

private fun Configuration.describe(change: Change): String = when (change) {
    is SetDefault -> agreement.default.toString()
    is SetException -> describeException(change.exception.workspace)
    is RemoveException -> describeException(change.workspace)
    is PutWorkspace -> workspaces[change.workspace.id]?.let { "keys=${it.keyHashes.size}" } ?: "absent"
    is PutPool -> pools[change.pool.id]?.toString() ?: "absent"
    is TakeOut -> describeServiceState(change.target)
    is BringBack -> describeServiceState(change.target)
}

private fun Configuration.describeException(workspace: WorkspaceId): String =
    agreement.exceptions[workspace]?.toString() ?: "default"

private fun Configuration.describeServiceState(target: Target): String = if (target in takenOut) "out" else "in service"
