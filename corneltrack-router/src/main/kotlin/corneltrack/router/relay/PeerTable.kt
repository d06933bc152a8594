package corneltrack.router.relay

import corneltrack.policy.discovery.isDigestDue
import corneltrack.wire.event
import corneltrack.world.DataCentreId
import corneltrack.world.InstanceId
import kotlinx.serialization.SerializationException
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** The peers of the region that get each digest; with more of them digests go out less often. */
private const val IN_REGION_PER_DIGEST = 6

/** The peers of other regions that get every third digest, since traffic between regions is billed. */
private const val CROSS_REGION_PER_DIGEST = 8
private const val CROSS_REGION_INTERVAL = 3

/** The silence after which a router is taken to be gone, in ms; a few digests may be lost. */
private const val DIGEST_TIMEOUT_MS = 1_500L
private val logger = LogManager.getLogger("corneltrack.router.relay.PeerTable")

/** Holds the routers that get one digest: those of the region and the others. */
internal data class Recipients(val inRegion: List<PeerRecord>, val crossRegion: List<PeerRecord>)

/** Keeps the other routers that announced themselves. */
internal class PeerTable(private val settings: RelaySettings) {
    private val peers = LinkedHashMap<InstanceId, PeerRecord>()
    private val lastDigestMs = HashMap<InstanceId, Long>()

    /** All known routers but this one. */
    val all: Collection<PeerRecord> get() = peers.values

    /** How many known routers come before this one by name. */
    val position: Int get() = peers.keys.count { it.value < settings.id.value }

    /** The known routers of the region but this one. */
    val inRegion: Collection<PeerRecord> get() = peers.values.filter { it.isInRegion() }

    /** Notes that [peer] lives. */
    fun onDigest(peer: InstanceId, nowMs: Long) {
        lastDigestMs[peer] = nowMs
    }

    /** Returns how many routers of the region that were heard lately come before this one by name. */
    fun rank(nowMs: Long): Int = peers.count { (id, record) ->
        id.value < settings.id.value && record.isInRegion() && lastDigestMs[id].let { it != null && nowMs - it < DIGEST_TIMEOUT_MS }
    }

    /** Returns the routers that get digest number [number]. */
    fun recipients(number: Long): Recipients {
        val (inRegion, crossRegion) = all.partition { it.isInRegion() }
        return Recipients(
            inRegion.filterIndexed { index, _ -> isDigestDue(number, index, inRegion.size, IN_REGION_PER_DIGEST, 1) },
            crossRegion.filterIndexed { index, _ -> isDigestDue(number, index, crossRegion.size, CROSS_REGION_PER_DIGEST, CROSS_REGION_INTERVAL) },
        )
    }

    /** Takes in an announcement, or that one was taken back. Returns true: either is a change. */
    fun onRecord(record: KeyedRecord): Boolean {
        val id = InstanceId(record.key)
        if (id == settings.id) return true
        val peer = record.value?.let(::decodeRecord)
        if (peer == null) peers.remove(id) else peers[id] = peer
        if (peer == null) lastDigestMs.remove(id)
        logger.event(if (peer == null) "peer_left" else "peer_found") {
            field("peer", id)
            field("peers", peers.size)
        }
        return true
    }

    private fun decodeRecord(value: ByteArray): PeerRecord? = try {
        peerJson.decodeFromString<PeerRecord>(String(value, Charsets.UTF_8))
    } catch (fault: SerializationException) {
        logger.event("peer_record_unreadable", Level.WARN) { field("reason", fault.message) }
        null
    }

    private fun PeerRecord.isInRegion() = settings.regions[DataCentreId(dataCentre)] == settings.region
}
