package corneltrack.router.relay

import corneltrack.wire.wireProtobuf
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val ROUTERS = 12
private const val SEEDS = 40

/** The simulated time within which routers must know that an endpoint drains. */
private const val DRAIN_LIMIT_MS = 4_000L

class RecordSharingTest {
    @Test
    fun `a change reaches all routers by one call`() {
        val region = RegionSimulation(ROUTERS, shares = true)
        val calls = region.reads

        region.change("endpoint-3", "draining")
        region.advance(1_300)

        region.assertConverged()
        assertEquals(ROUTERS - 1, region.taken)
        assertTrue(region.reads - calls <= 4, "${region.reads - calls} calls, of which none for the change")
    }

    @Test
    fun `a lost datagram is made good by the next one`() {
        val region = RegionSimulation(ROUTERS, shares = true)
        var lost = 0
        region.intercept = { _, bytes -> if (hasBatch(bytes) && lost++ < ROUTERS - 1) emptyList() else listOf(bytes) }

        region.change("endpoint-3", "draining")
        region.advance(2_000)

        region.assertConverged()
        assertEquals(0, region.readsOfChanges())
    }

    // A router that no records reach must not keep what it has for ever.
    @Test
    fun `one router reads what no datagram brought and sends it to the others`() {
        val region = RegionSimulation(ROUTERS, shares = true)
        region.intercept = { _, bytes ->
            val digest = wireProtobuf.decodeFromByteArray<PeerDigest>(bytes)
            val fromFirst = digest.sender == region.routers[0].id
            listOf(if (fromFirst) wireProtobuf.encodeToByteArray(digest.copy(records = SharedRecords())) else bytes)
        }

        region.change("endpoint-3", null)
        region.advance(DRAIN_LIMIT_MS)

        region.assertConverged()
        val reads = region.readsOfChanges()
        assertTrue(reads in 1..3, "$reads reads by ${ROUTERS - 1} routers")
    }

    @Test
    fun `repeated and delayed datagrams of a former incarnation change nothing`() {
        val region = RegionSimulation(ROUTERS, shares = true)
        val recorded = ArrayList<ByteArray>()
        region.intercept = { _, bytes -> listOf(bytes).also { recorded += bytes } }
        region.change("endpoint-3", "draining")
        region.advance(1_500)
        region.change("endpoint-3", null)
        region.advance(1_500)
        region.intercept = { _, bytes -> listOf(bytes) }
        region.restart(0)
        region.advance(3_000)
        region.assertConverged()

        recorded.shuffled(Random(1)).forEach { bytes -> region.routers.forEach { it.onDatagram(bytes) } }

        region.assertConverged()
        region.change("endpoint-3", "ready")
        region.advance(DRAIN_LIMIT_MS)
        region.assertConverged()
    }

    @Test
    fun `records of a router that is not listed are not taken`() {
        val region = RegionSimulation(ROUTERS, shares = true)
        val stranger =
            SharedRecords("endpoints", RecordBatch(0, 1_000_000, listOf(SharedRecord(999_999, "endpoint-3"))))
        region.intercept = { _, bytes ->
            val digest = wireProtobuf.decodeFromByteArray<PeerDigest>(bytes)
            val watermarks = digest.watermarks.mapValues { it.value.copy(nextOffset = 1_000_000) }
            val forged = digest.copy(sender = "stranger", watermarks = watermarks, records = stranger)
            listOf(bytes, wireProtobuf.encodeToByteArray(forged))
        }

        region.advance(3_000)

        region.assertConverged()
        assertEquals(0, region.taken)
    }

    @Test
    fun `an expiry costs the load of one router`() {
        val region = RegionSimulation(ROUTERS, shares = true)
        region.change("endpoint-1", "draining")
        region.change("endpoint-2", null)
        region.endpointLog.expire()

        region.advance(2_000)

        region.assertConverged()
        assertEquals(1, region.calls[StoreCall("endpoints", "RELOAD")] ?: 0)
    }

    // The load of the newest records does not show the change and its return that the others had read in between.
    @Test
    fun `a router that has read further than its peer does not take its word after an expiry`() {
        val region = RegionSimulation(ROUTERS, shares = true)
        val first = region.routers[0]
        first.access = StoreAccess.REFUSED
        region.intercept = { to, bytes -> if (to == 0) emptyList() else listOf(bytes) }
        region.change("endpoint-3", "draining")
        region.advance(5_000)
        assertEquals("draining", region.routers[5].states.getValue("endpoints")["endpoint-3"])
        region.routers[1].access = StoreAccess.ENDED
        region.change("endpoint-3", "ready")
        region.endpointLog.expire()
        first.access = StoreAccess.SERVED
        region.intercept = { _, bytes -> listOf(bytes) }

        region.advance(DRAIN_LIMIT_MS)

        region.assertConverged()
    }

    // A load shows no removal, so that the watermark of a router that has just started must not vouch for it.
    @Test
    fun `a removal is not lost when the polling router restarts`() = (0L until 1_000L step 100).forEach { sincePollMs ->
        val region = RegionSimulation(ROUTERS, shares = true, endpoints = 2)
        region.advance(sincePollMs)
        region.change("endpoint-1", null)
        region.restart(0)

        region.advance(DRAIN_LIMIT_MS)

        region.assertConverged()
    }

    @Test
    fun `no record is lost while datagrams are lost, history expires and routers restart`() = repeat(SEEDS) { seed ->
        val random = Random(seed)
        val region = RegionSimulation(ROUTERS, shares = true, network = UNRELIABLE, seed = seed)
        repeat(25) {
            region.disturb(random)
            region.advance(random.nextLong(1, 120) * 10)
        }
        region.routers.indices.filterNot { region.routers[it].running }.forEach(region::restart)
        region.routers.forEach { it.access = StoreAccess.SERVED }

        region.advance(DRAIN_LIMIT_MS)

        region.assertConverged()
        region.assertDatagramsFit()
    }

    @Test
    fun `a region whose routers share no records sends datagrams without them`() {
        val region = RegionSimulation(ROUTERS, shares = false)
        region.intercept = { _, bytes ->
            assertNull(wireProtobuf.decodeFromByteArray<PeerDigest>(bytes).records)
            listOf(bytes)
        }

        region.change("endpoint-3", "draining")
        region.advance(2_000)

        region.assertConverged()
        assertEquals(ROUTERS - 1, region.readsOfChanges())
    }

    @Test
    fun `a small region shares no records`() {
        val region = RegionSimulation(count = 8, shares = true)

        region.change("endpoint-3", "draining")
        region.advance(2_000)

        assertEquals(0, region.taken)
        assertEquals(7, region.readsOfChanges())
    }

    /** The reads and loads by which routers learned of changes of endpoints, beside the polls. */
    private fun RegionSimulation.readsOfChanges() =
        listOf("ANNOUNCED", "TAKEOVER", "RELOAD").sumOf { calls[StoreCall("endpoints", it)] ?: 0 }

    private fun hasBatch(bytes: ByteArray) = wireProtobuf.decodeFromByteArray<PeerDigest>(bytes).records?.batch != null

    private fun RegionSimulation.disturb(random: Random) {
        val key = "endpoint-${random.nextInt(5)}"
        val router = random.nextInt(ROUTERS)
        when (random.nextInt(12)) {
            0, 1, 2 -> change(key, "draining")
            3, 4 -> change(key, "ready")
            5 -> change(key, null)
            6, 7 -> endpointLog.expire()
            8 -> restart(router)
            9 -> routers[router].takeIf { it.running }?.access = StoreAccess.REFUSED
            10 -> routers.filter { it.running }.forEach { it.access = StoreAccess.SERVED }
            else -> routers[0].access = StoreAccess.ENDED
        }
    }
}
