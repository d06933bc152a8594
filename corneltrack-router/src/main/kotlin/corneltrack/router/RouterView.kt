package corneltrack.router

import corneltrack.world.Cell
import corneltrack.world.Configuration
import corneltrack.world.DataCentreId
import corneltrack.world.Endpoint
import corneltrack.world.EndpointId
import corneltrack.world.FleetList
import corneltrack.world.Instance
import corneltrack.world.InstanceId
import corneltrack.world.MemberState
import corneltrack.world.Pool
import corneltrack.world.PoolKind
import corneltrack.world.WorkspaceId
import java.util.concurrent.atomic.AtomicReference

/** Holds what a router knows of configuration and fleet at one moment. Immutable; replaced as a whole. */
internal class RouterView(
    val configuration: Configuration,
    val fleet: FleetList,
    private val settings: RouterSettings,
) {
    /** Whether the instance list has been seen. */
    val fleetLoaded: Boolean = fleet.instances.isNotEmpty()
    val endpoints: Map<EndpointId, Endpoint> = fleet.endpoints.associateBy { it.id }
    val endpointsByCell: Map<Cell, List<Endpoint>> = fleet.endpoints.groupBy { it.cell }
    val instances: Map<InstanceId, Instance> = fleet.instances.associateBy { it.id }
    private val workspacesByKeyHash: Map<String, WorkspaceId> =
        configuration.workspaces.values.flatMap { it.keyHashes.map { hash -> hash to it.id } }.toMap()
    private val servicePools: List<Pool> =
        configuration.pools.values.filter { it.kind == PoolKind.SERVICE }.sortedByDescending { it.route?.length ?: 0 }
    private val homeGroups = endpointsByCell.keys.map { it.dataCentre }.toSet().associateWith { findHomeGroup(it) }

    fun workspaceOfKey(keyHash: String): WorkspaceId? = workspacesByKeyHash[keyHash]

    fun servicePoolAt(path: String): Pool? =
        servicePools.firstOrNull {
            path == it.route || path.startsWith("${it.route}/") || path.startsWith("${it.route}?")
        }

    /** Returns the routers whose support counts in [cell]: those of its data centre, else region, else all. */
    fun homeGroup(cell: Cell): List<Instance> = homeGroups[cell.dataCentre].orEmpty()

    /** Returns whether new work may go to [endpoint]. */
    fun isOpen(endpoint: Endpoint): Boolean =
        endpoint.state == MemberState.LIVE && !configuration.isOutOfService(endpoint)

    /** Returns whether [endpoint] is known and new work may go to it. */
    fun isOpen(endpoint: EndpointId): Boolean = endpoints[endpoint]?.let { isOpen(it) } ?: false

    private fun findHomeGroup(dataCentre: DataCentreId): List<Instance> {
        val region = settings.regionOf(dataCentre)
        val sameDataCentre = fleet.instances.filter { it.dataCentre == dataCentre }
        val sameRegion = fleet.instances.filter { settings.regionOf(it.dataCentre) == region }
        return sameDataCentre.ifEmpty { sameRegion }.ifEmpty { fleet.instances }
    }
}

/** Publishes the current [RouterView] to readers on any thread, by read-copy-update. */
internal class RouterViews(private val settings: RouterSettings) {
    private val reference = AtomicReference(RouterView(Configuration(), FleetList(), settings))
    private val listeners = mutableListOf<(RouterView) -> Unit>()

    val current: RouterView get() = reference.get()

    /** Adds a listener that is told of each new view, on the thread that publishes it. */
    @Synchronized
    fun onChange(listener: (RouterView) -> Unit) {
        listeners += listener
    }

    /** Replaces the configuration where [configuration] is further along the stream. Returns whether it was. */
    @Synchronized
    fun publish(configuration: Configuration): Boolean {
        val newer = configuration.offset > current.configuration.offset
        if (newer) {
            replace(RouterView(configuration, current.fleet, settings))
        }
        return newer
    }

    /** Replaces the fleet list. */
    @Synchronized
    fun publish(fleet: FleetList) {
        if (fleet != current.fleet) {
            replace(RouterView(current.configuration, fleet, settings))
        }
    }

    private fun replace(view: RouterView) {
        reference.set(view)
        listeners.forEach { it(view) }
    }
}
