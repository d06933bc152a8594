package corneltrack.router.relay

import corneltrack.wire.HostAndPort
import corneltrack.world.DataCentreId
import corneltrack.world.InstanceId
import corneltrack.world.RegionId
import kotlinx.serialization.encodeToString
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against datagrams that state senders without end, each of which takes memory. */
class PeerTableTest {
    private val here = DataCentreId("here")
    private val address = HostAndPort("127.0.0.1", 1)
    private val peers = PeerTable(
        RelaySettings(InstanceId("router"), here, mapOf(here to RegionId("home")), address, address, "/ready", address),
    )

    @Test
    fun `few senders count that the store has not announced`() {
        repeat(1_000) {
            val sender = InstanceId("sender-$it")
            if (peers.admits(sender, digestBytes = 100)) peers.onDigest(sender, null, nowMs = 0)
        }

        assertEquals(128, (0 until 1_000).count { peers.admits(InstanceId("sender-$it"), digestBytes = 100) })
        assertFalse(peers.admits(InstanceId("sender-0"), digestBytes = 5_000), "a long digest")
    }

    @Test
    fun `an announced peer counts whatever others send`() {
        val record = peerJson.encodeToString(PeerRecord("here", "127.0.0.1:1")).toByteArray()
        peers.onRecord(KeyedRecord("known", record, at(0)))

        assertTrue(peers.admits(InstanceId("known"), digestBytes = 16_000))
        assertFalse(peers.admits(InstanceId("unknown"), digestBytes = 16_000), "a long digest of an unknown sender")
    }
}
