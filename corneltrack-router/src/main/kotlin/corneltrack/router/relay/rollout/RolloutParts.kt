package corneltrack.router.relay.rollout

import corneltrack.policy.discovery.Clocks
import corneltrack.policy.rollout.TRIAL_SHARE
import corneltrack.policy.rollout.mayTrial
import corneltrack.router.relay.EndpointStates
import corneltrack.router.relay.PeerContact
import corneltrack.router.relay.PeerLink
import corneltrack.router.relay.RelaySettings
import corneltrack.router.relay.RoutingState
import corneltrack.world.PoolId

/** The part of the allowed exposure that a trial uses; the rest covers the rounding of many routers' shares. */
private const val EXPOSURE_USED = 0.8

/** How long a router without peers may go without a response of the store beyond the limit, in ms: a long poll. */
private const val LONE_ROUTER_GRACE_MS = 1_500L

/** The parts of the router that roll-outs use. */
internal data class RolloutContext(
    val settings: RelaySettings,
    val records: RolloutRecords,
    val routingState: RoutingState,
    val states: EndpointStates,
    val link: PeerLink,
    val clock: Clocks,
    val metrics: RolloutMetrics,
)

/**
 * What the parts of a router's roll-outs share. Only used on the event loop.
 *
 * @property startedWallClockMs when this run of the router started, in ms since the epoch.
 */
internal class RolloutParts(context: RolloutContext) {
    val settings = context.settings
    val records = context.records
    val routingState = context.routingState
    val states = context.states
    val link = context.link
    val clock = context.clock
    val metrics = context.metrics
    private val pools = HashMap<PoolId, PoolRollout>()
    val startedWallClockMs = clock().wallClockMs
    val log = RolloutLog()
    val currency = StoreCurrency(routingState.operatorTopic, link.statuses, clock)
    val versions = ListedVersions(routingState.directory, currency.orders)
    val reports = RolloutReports(settings.id) { link }

    /** The share of a router's requests that go to a version on trial. */
    val trialShare: Double = minOf(TRIAL_SHARE, EXPOSURE_USED * settings.bounds.exposureShare)

    /** The pools that have or had an order, a status or a request. */
    val all: Collection<PoolRollout> get() = pools.values

    /** Returns what is known about [pool]. */
    fun of(pool: PoolId): PoolRollout = pools.getOrPut(pool) { PoolRollout(pool) }

    /** Returns the time since the store or a peer was heard, in ms, less the long poll of a router without peers. */
    fun unheardMs(contacts: List<PeerContact>): Long =
        minOf(peersSilentMs(contacts).minOrNull() ?: Long.MAX_VALUE, storeSilentMs(contacts))

    /** Whether requests may go to a version on trial, given whom this router hears. */
    fun mayTrial(contacts: List<PeerContact>): Boolean = mayTrial(storeSilentMs(contacts), peersSilentMs(contacts))

    private fun storeSilentMs(contacts: List<PeerContact>): Long {
        val storeMs = minOf(currency.unservedMs, routingState.followers.minOf { it.unservedMs })
        val graceMs = if (contacts.isEmpty()) LONE_ROUTER_GRACE_MS else 0
        return maxOf(0, storeMs - graceMs)
    }

    private fun peersSilentMs(contacts: List<PeerContact>): List<Long> =
        contacts.map { if (it.heard) it.silentMs else Long.MAX_VALUE }
}
