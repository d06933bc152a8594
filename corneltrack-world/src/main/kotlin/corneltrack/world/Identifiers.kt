package corneltrack.world

import kotlinx.serialization.Serializable

/** Names a workspace: one customer that shares the fleet's capacity. */
@Serializable
@JvmInline
public value class WorkspaceId(public val value: String) : Comparable<WorkspaceId> {
    override fun compareTo(other: WorkspaceId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Names a pool: endpoints that serve the same model or the same plain service. */
@Serializable
@JvmInline
public value class PoolId(public val value: String) : Comparable<PoolId> {
    override fun compareTo(other: PoolId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Names a data centre. */
@Serializable
@JvmInline
public value class DataCentreId(public val value: String) : Comparable<DataCentreId> {
    override fun compareTo(other: DataCentreId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Names a region: data centres joined by fast links. */
@Serializable
@JvmInline
public value class RegionId(public val value: String) : Comparable<RegionId> {
    override fun compareTo(other: RegionId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Names one router instance. A replacement at the same address carries a new incarnation, not a new name. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Names one endpoint: a model engine or a plain service that answers requests. */
@Serializable
@JvmInline
public value class EndpointId(public val value: String) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}
