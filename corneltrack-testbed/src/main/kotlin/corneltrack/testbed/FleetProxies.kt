package corneltrack.testbed

import corneltrack.world.DataCentreId
import corneltrack.world.FleetList
import corneltrack.world.RegionId
import io.netty.channel.EventLoopGroup
import java.util.concurrent.ConcurrentHashMap

/** Identifies the link from one member of the fleet to another member, the log or the instance list. */
public data class Link(val from: String, val to: String)

/**
 * Holds the fault-injecting proxies of a test fleet, one for each link, started on first use.
 *
 * The first use of a link blocks until its proxy's socket is bound, so it must not happen on an event loop.
 */
public class FleetProxies(private val plan: FleetPlan, private val group: EventLoopGroup) : AutoCloseable {
    private val proxies = ConcurrentHashMap<Link, FaultProxy>()

    /** Returns the proxy of the link [from] a router [to] the member at the address that [target] returns. */
    public fun proxyFor(from: String, to: String, target: () -> String): FaultProxy =
        proxies.computeIfAbsent(Link(from, to)) { FaultProxy(group, target, delayMs(from, to)).start() }

    /** Returns the started proxies whose link satisfies [predicate]. */
    public fun matching(predicate: (Link) -> Boolean): List<FaultProxy> =
        proxies.filterKeys(predicate).values.toList()

    /** Injects [fault] on all links between a member of [one] and a member of [other], in both directions. */
    public fun injectBetween(one: Set<String>, other: Set<String>, fault: LinkFault) {
        matching { it.from in one && it.to in other || it.from in other && it.to in one }.forEach { it.inject(fault) }
    }

    /**
     * Returns [fleet] with all addresses but the requester's own replaced by those of the proxies on its links.
     *
     * Only routers are proxied; other requesters, such as operators and tests, get the direct addresses.
     */
    public fun withProxyAddresses(requester: String, fleet: FleetList): FleetList {
        val isProxiedRouter = plan.proxied && fleet.instances.any { it.id.value == requester }
        if (!isProxiedRouter) {
            return fleet
        }
        return FleetList(
            fleet.instances.map { it.copy(address = proxyAddress(requester, it.id.value, it.address)) },
            fleet.endpoints.map { it.copy(address = proxyAddress(requester, it.id.value, it.address)) },
        )
    }

    override fun close() {
        proxies.values.forEach { it.close() }
    }

    private fun proxyAddress(requester: String, id: String, address: String): String =
        if (requester == id) address else proxyFor(requester, id) { address }.address

    private fun delayMs(from: String, to: String): Long {
        val fromRegion = regionOf(from)
        val toRegion = regionOf(to)
        return if (fromRegion == null || toRegion == null || fromRegion == toRegion) 0 else plan.regionDelayMs
    }

    private fun regionOf(member: String): RegionId? {
        val dataCentre = DataCentreId(member.substringBefore('-'))
        return plan.dataCentres.firstOrNull { it.id == dataCentre }?.region
    }
}
