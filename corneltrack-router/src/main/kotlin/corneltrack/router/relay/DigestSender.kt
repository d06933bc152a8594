package corneltrack.router.relay

import corneltrack.policy.discovery.StampEcho
import corneltrack.policy.limits.LimitObservation
import corneltrack.policy.placement.WorkspaceRate
import corneltrack.wire.HostAndPort
import corneltrack.wire.wireProtobuf
import corneltrack.world.EndpointId
import corneltrack.world.InstanceId
import corneltrack.world.WorkspaceId
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.socket.DatagramPacket
import kotlinx.serialization.encodeToByteArray

/** How many digests to one peer report the same cached prefix; makes up for lost datagrams. */
private const val PREFIX_REPORT_COPIES = 2

/**
 * How long what an endpoint stated about itself is told to peers, in ms; longer than digests take to reach all of them.
 */
private const val STATEMENT_REPORT_MS = 3_000L

/** The engines whose speeds one digest tells; bounds the datagrams of routers that use hundreds of engines at once. */
private const val MAXIMUM_SPEEDS = 100

/** Sends the digests of router [id] to its peers. Only used on the event loop. */
internal class DigestSender(private val id: InstanceId, private val shared: SharedState) {
    private val load = shared.load
    private var idleDigestSent = false

    /** The UDP socket; nothing is sent while it is null. */
    var channel: Channel? = null

    /**
     * Sends the load of this router to those [recipients] that are due; once to other regions while it is idle.
     *
     * @param stamp the stamp for the peers of the region.
     */
    fun sendDueLoads(recipients: Recipients, stamp: Long, nowMs: Long) {
        val rates = load.shares.ownRates(nowMs)
        val idle = rates.isEmpty() && load.states.all().none { (id, state) ->
            state.engine.ownLoad.running > 0 || load.states.hasRecentStatement(id, state, nowMs)
        }
        sendLoad(recipients.inRegion, nowMs, rates, stamp)
        if (!idle || !idleDigestSent) sendLoad(recipients.crossRegion, nowMs, rates)
        idleDigestSent = idle
    }

    /** Sends the load of this router, with the [rates] of its workspaces, to [group]. */
    fun sendLoad(
        group: RecipientGroup,
        nowMs: Long,
        rates: Map<WorkspaceId, WorkspaceRate> = load.shares.ownRates(nowMs),
        stamp: Long = 0,
    ) {
        if (group.peers.isEmpty()) return
        val endpoints = load.states.digests(group, nowMs)
        val workspaces = rates.map { (id, rate) -> id.value to rate.toDigest() }.toMap()
        send(PeerDigest(id.value, endpoints, workspaces, router = shared.routerLoad(), stamp = stamp), group.peers)
    }

    /** Sends [digest] to [recipients]. */
    fun send(digest: PeerDigest, recipients: Collection<PeerRecord>) {
        if (recipients.isEmpty()) return
        val bytes = wireProtobuf.encodeToByteArray(digest)
        recipients.forEach { write(bytes, it) }
        channel?.flush()
    }

    /** Sends [digest] to [recipients], each with its [echo]. */
    fun sendWithEchoes(digest: PeerDigest, recipients: Map<InstanceId, PeerRecord>, echo: (InstanceId) -> StampEcho) {
        if (recipients.isEmpty()) return
        val bytes = wireProtobuf.encodeToByteArray(digest)
        recipients.forEach { (id, peer) -> write(bytes.withEcho(echo(id)), peer) }
        channel?.flush()
    }

    private fun write(bytes: ByteArray, recipient: PeerRecord) {
        val address = HostAndPort.parse(recipient.address)?.takeIf { it.isReachable } ?: return
        channel?.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), address.toSocketAddress()))
    }
}

/** Whether the endpoint has lately stated something about itself that peers should know. */
private fun EndpointStates.hasRecentStatement(id: EndpointId, state: EndpointState, nowMs: Long): Boolean =
    state.limit.recentObservation(nowMs, STATEMENT_REPORT_MS) != null ||
        leaving.recentResponseAgeMs(id, state.startedAtMs, nowMs, STATEMENT_REPORT_MS) != null

/** Returns the load on each endpoint in use and the prefixes cached since the last digests to [group], by ID. */
internal fun EndpointStates.digests(group: RecipientGroup, nowMs: Long): Map<String, EndpointDigest> {
    val sinceMs = nowMs - PREFIX_REPORT_COPIES * group.cycle * DIGEST_PERIOD_MS
    var speedsToTell = MAXIMUM_SPEEDS
    return buildMap {
        all().forEach { (id, state) ->
            val prefixes = state.prefixReports.since(sinceMs)
            val limit = state.limit.recentObservation(nowMs, STATEMENT_REPORT_MS)?.toDigest(nowMs)
            val leavingAgeMs = leaving.recentResponseAgeMs(id, state.startedAtMs, nowMs, STATEMENT_REPORT_MS)
            val running = state.engine.ownLoad.running > 0
            val service = state.serviceDigest(nowMs)
            val inUse = running || prefixes.isNotEmpty() || limit != null || leavingAgeMs != null || service != null
            if (inUse) {
                val speeds = if (speedsToTell > 0) state.speedsDigest() else null
                if (speeds != null) speedsToTell--
                val digest = state.toDigest(prefixes)
                put(
                    id.value,
                    digest.copy(limit = limit, leavingAgeMs = leavingAgeMs, service = service, speeds = speeds),
                )
            }
        }
    }
}

private fun WorkspaceRate.toDigest() = WorkspaceDigest(requested.toLong(), granted.toLong(), attempted.toLong())

private fun EndpointState.toDigest(cachedPrefixes: List<Long>): EndpointDigest {
    val load = engine.ownLoad
    return EndpointDigest(
        load.pendingPrefillTokens,
        load.running,
        load.kvCacheTokens,
        startedAtMs,
        cachedPrefixes,
    )
}

private fun LimitObservation.toDigest(nowMs: Long) = LimitDigest(requestsPerSecond, nowMs - observedMs)
