package corneltrack.router.relay

import corneltrack.world.InstanceId

/** The time without a digest after which a router counts as unresponsive, in ms; tolerates a few lost datagrams. */
internal const val DIGEST_TIMEOUT_MS: Long = 1_500L

/**
 * When a known peer was last heard.
 *
 * @property silentMs the time since its last digest or, if there was none, since it became known.
 * @property heard whether there was a digest.
 */
internal data class PeerContact(val id: InstanceId, val silentMs: Long, val heard: Boolean) {
    /** Whether the peer is alive, as far as this router can tell. */
    val responsive: Boolean get() = heard && silentMs < DIGEST_TIMEOUT_MS
}

/**
 * The peers and their topic, as parts of the router see them that have messages of their own.
 *
 * @property statuses the topic in which routers announce themselves.
 */
internal class PeerLink(
    val statuses: FollowedKeyedTopic,
    private val table: PeerTable,
    private val sender: DigestSender,
) {
    /** Returns when each known peer was last heard. */
    fun contacts(nowMs: Long): List<PeerContact> = table.contacts(nowMs)

    /** Sends [digest] to all peers. */
    fun sendToAll(digest: PeerDigest) = sender.send(digest, table.all)

    /** Sends [digest] to the peers whose digest [number] is due. */
    fun sendToDue(digest: PeerDigest, number: Long) {
        val due = table.recipients(number)
        sender.send(digest, due.inRegion.peers + due.crossRegion.peers)
    }
}
