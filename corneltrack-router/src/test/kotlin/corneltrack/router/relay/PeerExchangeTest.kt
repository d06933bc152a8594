package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.StampEcho
import corneltrack.router.monotonicClock
import corneltrack.router.wallClock
import corneltrack.wire.HostAndPort
import corneltrack.wire.wireProtobuf
import corneltrack.world.DataCentreId
import corneltrack.world.InstanceId
import corneltrack.world.RegionId
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val PEERS = 100

/** Longer than an event loop runs tasks before it reads from its sockets again, in ms. */
private const val TASK_MS = 1_100L

/** An event loop looks at the time after each 64 tasks. */
private const val TASKS_PER_CHECK = 64
private const val TIMEOUT_S = 20L

class PeerExchangeTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val load = FleetLoad()
    private val port = DatagramSocket(0, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val address = HostAndPort("127.0.0.1", port)
    private val here = DataCentreId("here")
    private val settings = RelaySettings(
        id = InstanceId("router"),
        dataCentre = here,
        regions = mapOf(here to RegionId("home")),
        callers = address,
        readiness = address,
        readinessPath = "/ready",
        peers = address,
    )
    private val topic = FakeTopic(loop)
    private val statuses = CopyOnWriteArrayList<String>()
    private val inbox = RolloutInbox({ record -> record.key.startsWith("status ") && statuses.add(record.key) })
    private val exchange = PeerExchange(
        settings,
        topic.topic,
        loop,
        { ClockReading(monotonicClock(), wallClock()) },
        SharedState(load, PartSuspects(wallClock), { emptyList() }, rollouts = inbox) {
            RouterDigest(0, inRotation = true)
        },
    ) { }

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a router with a flooded event loop hears all of its peers in one iteration`() {
        exchange.start()
        val blocked = CountDownLatch(1)
        val sent = CountDownLatch(1)
        val heard = CompletableFuture<Int>()
        loop.execute {
            blocked.countDown()
            sent.await()
            loop.execute { stayBusy { heard.complete(load.shares.view(monotonicClock()).reportingPeers) } }
        }
        blocked.await()
        repeat(PEERS, ::sendDigest)
        sent.countDown()

        assertEquals(PEERS, heard.get(TIMEOUT_S, TimeUnit.SECONDS), "peers heard by a router that is busy")
    }

    // Guards against statuses that are taken for routers, to which digests are sent and for which roll-outs would wait.
    @Test
    fun `the status of a roll-out is no announcement of a router`() {
        val record = """{"dataCentre":"here","address":"127.0.0.1:1"}"""
        topic.put("status services", record)
        topic.put("peer", record)
        exchange.start()

        await("the records to be read") { topic.consumed && exchange.known > 0 }

        assertEquals(listOf("status services"), statuses.toList())
        assertEquals(1, exchange.known)
    }

    @Test
    fun `a peer of the region gets stamps and with watermarks the stamp that it sent`() =
        DatagramSocket(0, InetAddress.getLoopbackAddress()).use { peer ->
            peer.soTimeout = TimeUnit.SECONDS.toMillis(TIMEOUT_S).toInt()
            topic.put("second", """{"dataCentre":"here","address":"127.0.0.1:${peer.localPort}"}""")
            exchange.start()
            val first = peer.receiveUntil { it.watermarks.isNotEmpty() }
            assertEquals(StampEcho(), first.echo, "no stamp has been sent")
            val stamps = List(2) { peer.receiveUntil { it.carriesLoad }.stamp }
            assertTrue(stamps[0] in 1 until stamps[1], "$stamps")
            val bytes = wireProtobuf.encodeToByteArray(PeerDigest("second", stamp = 77))
            peer.send(DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), port))

            val echo = peer.receiveUntil { (it.echo?.stamp ?: 0) > 0 }.echo

            assertEquals(77, echo?.stamp)
        }

    private fun DatagramSocket.receiveUntil(condition: (PeerDigest) -> Boolean): PeerDigest {
        while (true) {
            val packet = DatagramPacket(ByteArray(16_384), 16_384).also(::receive)
            val digest = wireProtobuf.decodeFromByteArray<PeerDigest>(packet.data.copyOf(packet.length))
            if (condition(digest)) return digest
        }
    }

    /** Keeps the loop busy, so that it reads from its sockets once, and then runs [action]. */
    private fun stayBusy(action: () -> Unit) {
        val untilMs = monotonicClock() + TASK_MS
        while (monotonicClock() < untilMs) Thread.onSpinWait()
        repeat(TASKS_PER_CHECK) { loop.execute { } }
        loop.execute(action)
    }

    private fun sendDigest(peer: Int) {
        val digest = PeerDigest("peer-$peer", workspaces = mapOf("workspace" to WorkspaceDigest(1_000, 1_000)))
        val bytes = wireProtobuf.encodeToByteArray(digest)
        DatagramSocket().use { it.send(DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), port)) }
    }
}
