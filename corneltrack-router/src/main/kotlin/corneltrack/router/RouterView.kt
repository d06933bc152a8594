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

/** An immutable snapshot of the configuration and the fleet as known to a router. */
internal class RouterView(
    val configuration: Configuration,
    val fleet: FleetList,
    private val settings: RouterSettings,
) {
    /** Whether an instance list has been read. */
    val fleetLoaded: Boolean = fleet.instances.isNotEmpty()
    val endpoints: Map<EndpointId, Endpoint> = fleet.endpoints.associateBy { it.id }
    val endpointsByCell: Map<Cell, List<Endpoint>> = fleet.endpoints.groupBy { it.cell }
    val instances: Map<InstanceId, Instance> = fleet.instances.associateBy { it.id }
    private val workspacesByKeyHash: Map<String, WorkspaceId> =
        configuration.workspaces.values.flatMap { it.keyHashes.map { hash -> hash to it.id } }.toMap()
    private val servicePools: List<Pool> =
        configuration.pools.values.filter { it.kind == PoolKind.SERVICE }.sortedByDescending { it.route?.length ?: 0 }
    private val homeGroups = endpointsByCell.keys.map { it.dataCentre }.toSet().associateWith { findHomeGroup(it) }

    /** Returns the workspace whose API key has the hash [keyHash], or null if there is none. */
    fun workspaceOfKey(keyHash: String): WorkspaceId? = workspacesByKeyHash[keyHash]

    /** Returns the service pool with the longest route that matches [path], or null if there is none. */
    fun servicePoolAt(path: String): Pool? =
        servicePools.firstOrNull {
            path == it.route || path.startsWith("${it.route}/") || path.startsWith("${it.route}?")
        }

    /**
     * Returns the home group of [cell]: the routers whose support its allocator needs.
     *
     * These are the routers of its data centre, or if there are none those of its region, or else all routers.
     */
    fun homeGroup(cell: Cell): List<Instance> = homeGroups[cell.dataCentre].orEmpty()

    /** Returns whether new requests may be sent to [endpoint]. */
    fun isOpen(endpoint: Endpoint): Boolean =
        endpoint.state == MemberState.LIVE && !configuration.isOutOfService(endpoint)

    /** Returns whether [endpoint] is known and new requests may be sent to it. */
    fun isOpen(endpoint: EndpointId): Boolean = endpoints[endpoint]?.let { isOpen(it) } ?: false

    private fun findHomeGroup(dataCentre: DataCentreId): List<Instance> {
        val region = settings.regionOf(dataCentre)
        val sameDataCentre = fleet.instances.filter { it.dataCentre == dataCentre }
        val sameRegion = fleet.instances.filter { settings.regionOf(it.dataCentre) == region }
        return sameDataCentre.ifEmpty { sameRegion }.ifEmpty { fleet.instances }
    }
}

/** Publishes the current [RouterView] to readers on any thread by copy-on-write. */
internal class RouterViews(private val settings: RouterSettings) {
    private val reference = AtomicReference(RouterView(Configuration(), FleetList(), settings))
    private val listeners = mutableListOf<(RouterView) -> Unit>()

    val current: RouterView get() = reference.get()

    /** Adds a listener that is called with each new view, on the thread that publishes it. */
    @Synchronized
    fun onChange(listener: (RouterView) -> Unit) {
        listeners += listener
    }

    /** Replaces the configuration if [configuration] has a greater offset. Returns whether it has. */
    @Synchronized
    fun publish(configuration: Configuration): Boolean {
        val newer = configuration.offset > current.configuration.offset
        if (newer) {
            replace(RouterView(configuration, current.fleet, settings))
        }
        return newer
    }

    /** Replaces the fleet list if [fleet] differs from it. */
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
