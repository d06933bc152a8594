package corneltrack.router.relay

import corneltrack.policy.Suspicion
import corneltrack.policy.discovery.Clocks
import corneltrack.policy.limits.FleetPosition
import corneltrack.policy.limits.RotationPeers
import corneltrack.policy.limits.SlidingWindowLimiter
import corneltrack.wire.event
import corneltrack.wire.wireProtobuf
import corneltrack.world.InstanceId
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.util.concurrent.TimeUnit

internal const val DIGEST_PERIOD_MS: Long = 100L

/** Suspicions are sent once, not periodically, so copies make up for lost datagrams. */
private const val SUSPICION_COPIES = 3

/** Fits the digest of a router that has streams on each of about 300 engines. */
private const val MAXIMUM_DATAGRAM_BYTES = 16_384

/**
 * The datagrams read in one event loop iteration. More than arrive while a flooded router runs one, about 100 a second:
 * a router that reads fewer goes by old digests, and in the end by itself alone.
 */
private const val DATAGRAMS_PER_ITERATION = 512

/** The routers of a region up to which each of them reads the changes of the store's topics. */
private const val MAXIMUM_READING_ROUTERS = 8

/** Anyone can send datagrams, so that the lines about unreadable ones in one second need a bound. */
private const val MAXIMUM_UNREADABLE_LINES = 10
private const val LOG_WINDOW_MS = 1_000L
private const val MAXIMUM_REASON_LENGTH = 200
private val PEER_POLL_TIMING = PollTiming(waitMs = 10_000, delayMs = 500)
private val logger = LogManager.getLogger("corneltrack.router.relay.PeerExchange")
internal val peerJson: Json = Json { ignoreUnknownKeys = true }

/**
 * What the roll-outs take from the peers and their topic.
 *
 * @property takesRecord handles a record of the peers' topic if it is the status of a roll-out; returns whether it is.
 * @property onDigest handles a peer's reports.
 * @property isStatus returns whether the record of a key is the status of a roll-out, which is known from earlier ones.
 */
internal class RolloutInbox(
    val takesRecord: (KeyedRecord) -> Boolean = { false },
    val onDigest: (peer: InstanceId, digests: List<RolloutDigest>) -> Unit = { _, _ -> },
    val isStatus: (key: String) -> Boolean = { false },
)

/**
 * The state of a router that it exchanges with its peers.
 *
 * @property load the load of this router and, from digests, of its peers.
 * @property partSuspects the parts of prompts under which endpoints crash.
 * @property followers returns the followers of all topics but that of the peers.
 * @property sharing determines whether the routers of the region send each other the records of topics.
 * @property rollouts takes what concerns roll-outs.
 * @property routerLoad returns how loaded this router is.
 */
internal class SharedState(
    val load: FleetLoad,
    val partSuspects: PartSuspects,
    val followers: () -> List<TopicFollower>,
    val sharing: RecordSharing = RecordSharing(),
    val rollouts: RolloutInbox = RolloutInbox(),
    val routerLoad: () -> RouterDigest,
)

/**
 * Finds the other routers through the store and exchanges loads, suspicions and watermarks with them over UDP.
 *
 * Load digests replace the previous ones, so that a lost datagram needs no retransmission; they are sent less often
 * across regions. Watermarks stay within the region. Only used on the event loop.
 *
 * @param topic the store's topic of [PeerRecord]s.
 * @param onSuspicion called with each suspicion of a peer.
 */
internal class PeerExchange(
    private val settings: RelaySettings,
    private val topic: KeyedTopic,
    private val loop: EventLoop,
    private val clock: Clocks,
    private val shared: SharedState,
    private val onSuspicion: (Suspicion) -> Unit,
) {
    private val load = shared.load
    private val peerLoads = PeerLoads(load)
    private val peers = PeerTable(settings)
    private val followed = FollowedTopic(
        "peers",
        topic,
        PEER_POLL_TIMING,
        reconciles = { shared.rollouts.isStatus(it) },
        onLoaded = { if (withdrawn || !isRecorded) publish() },
    )
    private val follower = TopicFollower(followed, loop, clock, ::rank, shared.sharing) { record ->
        shared.rollouts.takesRecord(record) || peers.onRecord(record)
    }
    private val watermarks = WatermarkExchange(clock) { shared.followers() + follower }
    private val sender = DigestSender(settings.id, shared)
    private var digestNumber = 0L
    private var withdrawn = false

    /** The peers, for parts of the router that have messages of their own. */
    val link = PeerLink(FollowedKeyedTopic(topic, follower), peers, sender)

    /** The number of peers that have announced themselves in the store. */
    val known: Int get() = peers.all.size

    /** Whether the store has the announcement of this router. */
    private val isRecorded: Boolean get() = follower.records.isRecorded(settings.id.value, follower.end.era)

    /** Whether the region has so many routers that reading each change at each of them costs more than sending it. */
    val isRegionLarge: Boolean get() = peers.inRegion.size + 1 > MAXIMUM_READING_ROUTERS

    /** Binds the UDP socket, announces this router in the store and follows the announcements of the others. */
    fun start() {
        sender.channel = Bootstrap().group(loop).channel(NioDatagramChannel::class.java)
            .option(ChannelOption.RECVBUF_ALLOCATOR, datagramAllocator())
            .handler(DigestHandler()).bind(settings.peers.toSocketAddress()).sync().channel()
        loop.execute {
            publish()
            follower.start()
        }
        loop.scheduleAtFixedRate(::onTick, DIGEST_PERIOD_MS, DIGEST_PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    /** Removes the announcement of this router from the store. */
    fun withdraw() {
        withdrawn = true
        publish()
    }

    /** Sends [suspicion] to all peers. */
    fun share(suspicion: Suspicion) {
        val digest = PeerDigest(settings.id.value, suspicions = listOf(suspicion))
        repeat(SUSPICION_COPIES) { sender.send(digest, peers.all) }
    }

    /** Writes the announcement, or removes it if this router leaves. */
    private fun publish() {
        val record = PeerRecord(settings.dataCentre.value, settings.peers.toString()).takeUnless { withdrawn }
        topic.write(settings.id.value, record?.let { peerJson.encodeToString(it).toByteArray() }) { written ->
            if (!written && !withdrawn) loop.schedule(::publish, ANNOUNCE_RETRY_MS, TimeUnit.MILLISECONDS)
        }
    }

    /** Returns how many live routers of the region come before this one in the order of polling the store. */
    fun rank(): Int = peers.rank(clock().monotonicMs)

    /** Tells the peers of this data centre at once how loaded this router is. */
    fun shareLoad() = sender.sendLoad(peers.inDataCentre, clock().monotonicMs)

    /** Returns how loaded the other routers of the data centre say that they are. */
    fun rotationPeers(): RotationPeers = peers.rotationPeers(clock().monotonicMs)

    /** Returns this router's place among all listed routers, or null until their list has been loaded. */
    fun fleetPosition(): FleetPosition? =
        if (follower.asOf == null) null else FleetPosition(peers.position, peers.all.size + 1)

    private fun onTick() {
        watermarks.alignEras()
        sender.sendDueLoads(peers.recipients(digestNumber++), watermarks.stamp(), clock().monotonicMs)
        watermarks.dueDigests(settings.id.value).forEach {
            sender.sendWithEchoes(it, peers.inRegion) { peer -> watermarks.echo(peer.value) }
        }
        shared.partSuspects.dueReports(settings.id.value)?.let { sender.send(it, peers.all) }
    }

    private fun onDigest(digest: PeerDigest, bytes: Int) {
        val peer = InstanceId(digest.sender)
        val nowMs = clock().monotonicMs
        if (!peers.admits(peer, bytes)) return
        peers.onDigest(peer, digest.router, nowMs)
        digest.suspicions.forEach(onSuspicion)
        watermarks.onPeer(digest, listed = peers.isInRegion(peer))
        shared.partSuspects.onPeer(digest)
        if (digest.rollouts.isNotEmpty()) shared.rollouts.onDigest(peer, digest.rollouts)
        if (digest.carriesLoad) peerLoads.onDigest(peer, digest, nowMs)
    }

    private inner class DigestHandler : SimpleChannelInboundHandler<DatagramPacket>() {
        private val logged = SlidingWindowLimiter(LOG_WINDOW_MS)

        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val bytes = ByteBufUtil.getBytes(packet.content())
            try {
                onDigest(wireProtobuf.decodeFromByteArray<PeerDigest>(bytes), bytes.size)
            } catch (fault: SerializationException) {
                onFailure(fault, unreadable = true)
            }
        }

        @Deprecated("Netty keeps this method for inbound handlers")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
            onFailure(cause, unreadable = false)

        private fun onFailure(cause: Throwable, unreadable: Boolean) {
            val nowMs = clock().monotonicMs
            if (!logged.allows(MAXIMUM_UNREADABLE_LINES, nowMs)) return
            logged.onEvent(nowMs)
            logger.event(if (unreadable) "peer_digest_unreadable" else "peer_digest_failed", Level.WARN) {
                field("reason", cause.message?.take(MAXIMUM_REASON_LENGTH))
            }
        }
    }

    private companion object {
        const val ANNOUNCE_RETRY_MS = 1_000L
    }
}

private fun datagramAllocator() =
    FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES).maxMessagesPerRead(DATAGRAMS_PER_ITERATION)
