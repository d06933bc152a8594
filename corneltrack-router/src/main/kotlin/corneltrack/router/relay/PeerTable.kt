package corneltrack.router.relay

import corneltrack.policy.discovery.digestCycle
import corneltrack.policy.discovery.isDigestDue
import corneltrack.policy.limits.RotationPeers
import corneltrack.policy.limits.RotationReport
import corneltrack.policy.limits.rotationPeers
import corneltrack.wire.event
import corneltrack.world.DataCentreId
import corneltrack.world.InstanceId
import kotlinx.serialization.SerializationException
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** The peers of the region that receive one digest; with more peers, each receives digests less often. */
private const val IN_REGION_PER_DIGEST = 6

/** The peers of other regions that receive one digest. */
private const val CROSS_REGION_PER_DIGEST = 8

/** Peers of other regions receive at most every third digest, since traffic between regions is billed. */
private const val CROSS_REGION_INTERVAL = 3

/**
 * The senders of digests that count though the store has not announced them yet, as after a start. Datagrams can state
 * any sender, so that their number and the size of their digests need a bound.
 */
private const val MAXIMUM_UNANNOUNCED = 128
private const val MAXIMUM_UNANNOUNCED_BYTES = 4_096
private val logger = LogManager.getLogger("corneltrack.router.relay.PeerTable")

/**
 * Some of the peers that receive one digest.
 *
 * @property cycle the number of digests of which each of them receives one.
 */
internal data class RecipientGroup(val peers: List<PeerRecord>, val cycle: Int)

/** The peers that receive one digest, of this region and of others. */
internal data class Recipients(val inRegion: RecipientGroup, val crossRegion: RecipientGroup)

/** The other routers that have announced themselves in the store. */
internal class PeerTable(private val settings: RelaySettings) {
    private val peers = LinkedHashMap<InstanceId, PeerRecord>()
    private val lastDigestMs = HashMap<InstanceId, Long>()
    private val routerLoads = HashMap<InstanceId, RouterDigest>()
    private val firstAskedMs = HashMap<InstanceId, Long>()

    /** All known peers. */
    val all: Collection<PeerRecord> get() = peers.values

    /** The position of this router among all known ones, sorted by ID. */
    val position: Int get() = peers.keys.count { it.value < settings.id.value }

    /** The known peers of this region, by ID. */
    val inRegion: Map<InstanceId, PeerRecord> get() = peers.filterValues { it.isInRegion() }

    /** Whether [peer] is a known router of this region. */
    fun isInRegion(peer: InstanceId): Boolean = peers[peer]?.isInRegion() ?: false

    /** The known peers of this data centre. */
    val inDataCentre: RecipientGroup
        get() = RecipientGroup(peers.values.filter { it.dataCentre == settings.dataCentre.value }, cycle = 1)

    /** Whether a digest of [peer] counts: one that is announced, or a short one of few senders that are not. */
    fun admits(peer: InstanceId, digestBytes: Int): Boolean {
        val counted = peer in lastDigestMs || lastDigestMs.size < peers.size + MAXIMUM_UNANNOUNCED
        return peer in peers || counted && digestBytes <= MAXIMUM_UNANNOUNCED_BYTES
    }

    /** Records that a digest of [peer] arrived, and how loaded it says that it is. */
    fun onDigest(peer: InstanceId, load: RouterDigest?, nowMs: Long) {
        lastDigestMs[peer] = nowMs
        load?.let { routerLoads[peer] = it }
    }

    /** Returns how loaded the routers of this data centre are, as far as they have reported lately. */
    fun rotationPeers(nowMs: Long): RotationPeers {
        val sameDataCentre = peers.filterValues { it.dataCentre == settings.dataCentre.value }.keys
        val reports = sameDataCentre.filter { isResponsive(it, nowMs) }
            .mapNotNull { id -> routerLoads[id]?.let { id.value to RotationReport(it.lagMs, it.inRotation) } }
        return rotationPeers(settings.id.value, sameDataCentre.size + 1, reports.toMap())
    }

    private fun isResponsive(peer: InstanceId, nowMs: Long) =
        lastDigestMs[peer].let { it != null && nowMs - it < DIGEST_TIMEOUT_MS }

    /** Returns how many responsive peers of this region have an ID that sorts before this router's. */
    fun rank(nowMs: Long): Int = peers.count { (id, record) ->
        id.value < settings.id.value && record.isInRegion() &&
            isResponsive(id, nowMs)
    }

    /** Returns when each known peer was last heard. */
    fun contacts(nowMs: Long): List<PeerContact> = peers.keys.map { id ->
        val heardMs = lastDigestMs[id]
        PeerContact(id, nowMs - (heardMs ?: firstAskedMs.getOrPut(id) { nowMs }), heardMs != null)
    }

    /** Returns the peers that receive digest [number], counted from the start of the process. */
    fun recipients(number: Long): Recipients {
        val (inRegion, crossRegion) = all.partition { it.isInRegion() }
        return Recipients(
            inRegion.due(number, IN_REGION_PER_DIGEST, interval = 1),
            crossRegion.due(number, CROSS_REGION_PER_DIGEST, CROSS_REGION_INTERVAL),
        )
    }

    /** Adds or removes a peer by its record. Returns true, since each record counts as a change. */
    fun onRecord(record: KeyedRecord): Boolean {
        val id = InstanceId(record.key)
        if (id == settings.id) return true
        val peer = record.value?.let(::decodeRecord)
        if (peer == null) peers.remove(id) else peers[id] = peer
        if (peer == null) {
            lastDigestMs.remove(id)
            routerLoads.remove(id)
            firstAskedMs.remove(id)
        }
        logger.event(if (peer == null) "peer_left" else "peer_found") {
            field("peer", id)
            field("peers", peers.size)
        }
        return true
    }

    private fun PeerRecord.isInRegion() = settings.regions[DataCentreId(dataCentre)] == settings.region
}

private fun decodeRecord(value: ByteArray): PeerRecord? = try {
    peerJson.decodeFromString<PeerRecord>(String(value, Charsets.UTF_8))
} catch (fault: SerializationException) {
    logger.event("peer_record_unreadable", Level.WARN) { field("reason", fault.message) }
    null
}

private fun List<PeerRecord>.due(number: Long, perDigest: Int, interval: Int) = RecipientGroup(
    filterIndexed { index, _ -> isDigestDue(number, index, size, perDigest, interval) },
    digestCycle(size, perDigest, interval),
)
