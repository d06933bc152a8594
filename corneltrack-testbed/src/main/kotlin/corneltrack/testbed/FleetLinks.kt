package corneltrack.testbed

import corneltrack.world.DataCentreId
import corneltrack.world.FleetList
import corneltrack.world.RegionId
import io.netty.channel.EventLoopGroup
import java.util.concurrent.ConcurrentHashMap

/** Names a link from a router to a router, endpoint, log or list. */
public data class LinkName(val from: String, val to: String)

/**
 * Holds the proxies on all links of a test fleet, each started when it is first used.
 *
 * First use waits for a socket and must not happen on an event loop.
 */
public class FleetLinks(private val plan: FleetPlan, private val group: EventLoopGroup) : AutoCloseable {
    private val proxies = ConcurrentHashMap<LinkName, FaultProxy>()

    /** Returns the proxy on the link [from] a router [to] something. */
    public fun link(from: String, to: String, target: () -> String): FaultProxy =
        proxies.computeIfAbsent(LinkName(from, to)) { FaultProxy(group, target, delayMs(from, to)).start() }

    /** Returns the proxies in use whose name [picks]. */
    public fun matching(picks: (LinkName) -> Boolean): List<FaultProxy> =
        proxies.filterKeys(picks).values.toList()

    /** Injects [fault] on all links between members of [one] and [other], in both directions. */
    public fun between(one: Set<String>, other: Set<String>, fault: LinkFault) {
        matching { it.from in one && it.to in other || it.from in other && it.to in one }.forEach { it.inject(fault) }
    }

    /** Returns [fleet] as [requester] sees it. Operators and tests see the true addresses. */
    public fun seenBy(requester: String, fleet: FleetList): FleetList {
        val router = plan.proxied && fleet.instances.any { it.id.value == requester }
        if (!router) {
            return fleet
        }
        return FleetList(
            fleet.instances.map { it.copy(address = seen(requester, it.id.value, it.address)) },
            fleet.endpoints.map { it.copy(address = seen(requester, it.id.value, it.address)) },
        )
    }

    override fun close() {
        proxies.values.forEach { it.close() }
    }

    private fun seen(requester: String, id: String, address: String): String =
        if (requester == id) address else link(requester, id) { address }.address

    private fun delayMs(from: String, to: String): Long {
        val one = regionOf(from)
        val other = regionOf(to)
        return if (one == null || other == null || one == other) 0 else plan.regionDelayMs
    }

    private fun regionOf(member: String): RegionId? {
        val dataCentre = DataCentreId(member.substringBefore('-'))
        return plan.dataCentres.firstOrNull { it.id == dataCentre }?.region
    }
}
