package corneltrack.router.relay

import corneltrack.policy.belief.isDigestDue
import corneltrack.wire.event
import corneltrack.world.DataCentreId
import corneltrack.world.InstanceId
import kotlinx.serialization.SerializationException
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** The near peers that get each digest; with more of them digests go out less often. */
private const val NEAR_PER_DIGEST = 6

/** The far peers that get every third digest, since traffic between regions is billed. */
private const val FAR_PER_DIGEST = 8
private const val FAR_EVERY = 3
private val logger = LogManager.getLogger("corneltrack.router.relay.PeerTable")

/** Keeps the other routers that announced themselves. */
internal class PeerTable(private val settings: RelaySettings) {
    private val peers = LinkedHashMap<InstanceId, PeerRecord>()

    /** All known routers but this one. */
    val all: Collection<PeerRecord> get() = peers.values

    /** Returns the routers that get digest number [turn]. */
    fun receivers(turn: Long): List<PeerRecord> {
        val (near, far) = all.partition { it.isNear() }
        val nearNow = near.filterIndexed { index, _ -> isDigestDue(turn, index, near.size, NEAR_PER_DIGEST, 1) }
        val farNow = far.filterIndexed { index, _ -> isDigestDue(turn, index, far.size, FAR_PER_DIGEST, FAR_EVERY) }
        return nearNow + farNow
    }

    /** Takes in an announcement, or that one was taken back. */
    fun onRecord(record: KeyedRecord) {
        val id = InstanceId(record.key)
        if (id == settings.id) return
        val peer = record.value?.let(::decodeRecord)
        if (peer == null) peers.remove(id) else peers[id] = peer
        logger.event(if (peer == null) "peer_left" else "peer_found") {
            field("peer", id)
            field("peers", peers.size)
        }
    }

    private fun decodeRecord(value: ByteArray): PeerRecord? = try {
        peerJson.decodeFromString<PeerRecord>(String(value, Charsets.UTF_8))
    } catch (fault: SerializationException) {
        logger.event("peer_record_unreadable", Level.WARN) { field("reason", fault.message) }
        null
    }

    private fun PeerRecord.isNear() = settings.regions[DataCentreId(dataCentre)] == settings.region
}
