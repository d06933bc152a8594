package corneltrack.world

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What operators take out of service. */
@Serializable
public enum class TargetKind { DATA_CENTRE, INSTANCE, ENDPOINT }

/** Names something that operators take out of service and bring back. */
@Serializable
public data class Target(val kind: TargetKind, val id: String) {
    override fun toString(): String = "${kind.name.lowercase().replace('_', '-')}:$id"
}

/** One change that an operator asks for. */
@Serializable
public sealed interface Change {
    /** The part of the configuration that is changed; changes of different subjects do not conflict. */
    public val subject: String
}

/** Replaces the fleet-wide default. */
@Serializable
@SerialName("set-default")
public data class SetDefault(val terms: Terms) : Change {
    override val subject: String get() = "default"
}

/** Adds or replaces an exception to the default. */
@Serializable
@SerialName("set-exception")
public data class SetException(val exception: AgreementException) : Change {
    override val subject: String get() = "exception:${exception.workspace}"
}

/** Removes an exception, so that the default holds again. */
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

/** One entry of the configuration stream. */
@Serializable
public sealed interface ConfigurationEntry

/**
 * Asks for a change.
 *
 * @property changeId unique per request of an operator, so that a repeated append takes effect once.
 * @property basedOn the version that the operator saw.
 * @property atMs the operator's clock, in ms since the epoch; informative only.
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

/** Carries the whole configuration, so that older records may expire. */
@Serializable
@SerialName("snapshot")
public data class SnapshotRecord(val configuration: Configuration) : ConfigurationEntry

/** Stands for an entry that this version cannot read; it changes nothing but the offset. */
@Serializable
@SerialName("unreadable")
public data object UnreadableEntry : ConfigurationEntry
