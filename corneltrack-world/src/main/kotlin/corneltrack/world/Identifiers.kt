package corneltrack.world

import kotlinx.serialization.Serializable

/** Identifies a workspace, which is a customer that shares the fleet's capacity with others. */
@Serializable
@JvmInline
public value class WorkspaceId(public val value: String) : Comparable<WorkspaceId> {
    override fun compareTo(other: WorkspaceId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Identifies a pool of endpoints that serve the same model or the same plain service. */
@Serializable
@JvmInline
public value class PoolId(public val value: String) : Comparable<PoolId> {
    override fun compareTo(other: PoolId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Identifies a data centre. */
@Serializable
@JvmInline
public value class DataCentreId(public val value: String) : Comparable<DataCentreId> {
    override fun compareTo(other: DataCentreId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Identifies a region, which is a group of data centres with fast links between them. */
@Serializable
@JvmInline
public value class RegionId(public val value: String) : Comparable<RegionId> {
    override fun compareTo(other: RegionId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Identifies a router instance. A replacement at the same address has the same id and a new incarnation. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}

/** Identifies an endpoint, which is a model engine or one server of a plain service. */
@Serializable
@JvmInline
public value class EndpointId(public val value: String) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = value.compareTo(other.value)
    override fun toString(): String = value
}
