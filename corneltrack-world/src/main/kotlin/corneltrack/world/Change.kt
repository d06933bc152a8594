package corneltrack.world

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kinds of things that operators take out of service. */
@Serializable
public enum class TargetKind { DATA_CENTRE, INSTANCE, ENDPOINT }

/** Identifies a data centre, instance or endpoint that operators take out of service and bring back. */
@Serializable
public data class Target(val kind: TargetKind, val id: String) {
    override fun toString(): String = "${kind.name.lowercase().replace('_', '-')}:$id"
}

/** A change of the configuration that an operator requests. */
@Serializable
public sealed interface Change {
    /** The part of the configuration that changes. Changes of different subjects do not conflict. */
    public val subject: String
}

/** Replaces the fleet-wide default terms. */
@Serializable
@SerialName("set-default")
public data class SetDefault(val terms: Terms) : Change {
    override val subject: String get() = "default"
}

/** Adds or replaces a workspace's exception to the default terms. */
@Serializable
@SerialName("set-exception")
public data class SetException(val exception: AgreementException) : Change {
    override val subject: String get() = "exception:${exception.workspace}"
}

/** Removes a workspace's exception, so that the default terms apply again. */
@Serializable
@SerialName("remove-exception")
public data class RemoveException(val workspace: WorkspaceId) : Change {
    override val subject: String get() = "exception:$workspace"
}

/** Adds or replaces a workspace and its key hashes. */
@Serializable
@SerialName("put-workspace")
public data class PutWorkspace(val workspace: Workspace) : Change {
    override val subject: String get() = "workspace:${workspace.id}"
}

/** Adds or replaces a pool. */
@Serializable
@SerialName("put-pool")
public data class PutPool(val pool: Pool) : Change {
    override val subject: String get() = "pool:${pool.id}"
}

/** Takes a data centre, instance or endpoint out of service. */
@Serializable
@SerialName("take-out")
public data class TakeOut(val target: Target) : Change {
    override val subject: String get() = "service:$target"
}

/** Brings a data centre, instance or endpoint back into service. */
@Serializable
@SerialName("bring-back")
public data class BringBack(val target: Target) : Change {
    override val subject: String get() = "service:$target"
}

/** An entry of the configuration stream. */
@Serializable
public sealed interface ConfigurationEntry

/**
 * Requests a change.
 *
 * @property changeId a unique id of the request, so that a change that is appended twice takes effect once.
 * @property basedOn the version that the operator saw; a later change of the same subject rejects this one.
 * @property who the name of the operator.
 * @property why the operator's reason.
 * @property atMs the time of the operator's clock, in ms since the epoch. It is only for information.
 */
@Serializable
@SerialName("change")
public data class ChangeRecord(
    val changeId: String,
    val basedOn: Long,
    val who: String,
    val why: String,
    val atMs: Long,
    val change: Change,
) : ConfigurationEntry

/** Contains the whole configuration, so that older records may expire. */
@Serializable
@SerialName("snapshot")
public data class SnapshotRecord(val configuration: Configuration) : ConfigurationEntry

/** Replaces an entry that this version cannot decode. It changes only the offset. */
@Serializable
@SerialName("unreadable")
public data object UnreadableEntry : ConfigurationEntry
