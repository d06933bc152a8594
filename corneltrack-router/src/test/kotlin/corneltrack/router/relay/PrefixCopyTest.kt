package corneltrack.router.relay

import corneltrack.world.MemberState
import java.net.Socket
import java.util.concurrent.CopyOnWriteArraySet
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** The number of streams that an engine of the fixture runs at once. */
private const val BATCH_SLOTS = 4
private const val PROMPT = "tokens: 12000\r\nprefix: 7:10000,%d:2000\r\n"

/**
 * Checks from which engine a router has a prefix copied when the engine that has it cached is full.
 *
 * Plays a popular prefix: more streams than one engine runs at once start with it.
 */
class PrefixCopyTest {
    private val fixture = RelayFixture()
    private val release = CountDownLatch(1)
    private val engines = listOf("a", "b").associateWith { name ->
        fixture.endpoint(name) { request, socket -> streamUntilReleased(request, socket) }
    }
    private val callers = ArrayList<Thread>()

    /** The ids of the streams whose response has begun. */
    private val started = CopyOnWriteArraySet<String>()

    @AfterTest
    fun stop() {
        release.countDown()
        callers.forEach { it.join() }
        fixture.close()
    }

    @Test
    fun `a full engine's prefix is copied to the engine that takes the next stream`() {
        fixture.start()
        val (holder, other) = fillOneEngine()

        call("next")
        await("the next stream to reach the other engine") { other.requests.isNotEmpty() }

        assertEquals(holder.address, other.requests.single().headers["copy-from"])
        assertTrue(holder.requests.none { "copy-from" in it.headers }, "the holder was asked to copy")
    }

    @Test
    fun `nothing is copied from an engine that is leaving`() {
        fixture.start()
        val (holder, other) = fillOneEngine()
        val name = engines.entries.single { it.value === holder }.key
        fixture.listEndpoint(name, holder.address, state = MemberState.LEAVING)
        fixture.awaitEndpointsRead()

        call("next")
        await("the next stream to reach the other engine") { other.requests.isNotEmpty() }

        assertNull(other.requests.single().headers["copy-from"])
    }

    @Test
    fun `the prompt of a route that is bound to regions is not copied`() {
        fixture.start()
        val (_, other) = fillOneEngine("/bound/x")

        call("next", "/bound/x")
        await("the next stream to reach the other engine") { other.requests.isNotEmpty() }

        assertNull(other.requests.single().headers["copy-from"])
    }

    @Test
    fun `a caller cannot name the engine to copy from`() {
        fixture.start()

        call("first", headers = "copy-from: 10.0.0.1:80\r\n")
        await("the stream to start") { engines.values.any { it.requests.isNotEmpty() } }

        assertNull(engines.values.flatMap { it.requests }.single().headers["copy-from"])
    }

    /** Returns the engine that runs as many streams with the prefix as it can, and the other one. */
    private fun fillOneEngine(path: String = "/stream/x"): Pair<ScriptedEndpoint, ScriptedEndpoint> {
        repeat(BATCH_SLOTS) { index ->
            call("fill-$index", path)
            await("stream $index to start") { engines.values.sumOf { it.requests.size } == index + 1 }
            await("the first event of stream $index") { started.size == index + 1 }
        }
        val holder = engines.values.single { it.requests.isNotEmpty() }
        assertEquals(BATCH_SLOTS, holder.requests.size, "streams at the preferred engine")
        return holder to engines.values.single { it !== holder }
    }

    private fun call(id: String, path: String = "/stream/x", headers: String = "") {
        val prompt = PROMPT.format(id.hashCode() and Int.MAX_VALUE)
        callers += thread {
            fixture.connect().use { socket ->
                socket.send(request(path, id, prompt + headers))
                val input = socket.getInputStream()
                if (input.read() >= 0) started += id
                input.readAllBytes()
            }
        }
    }

    private fun streamUntilReleased(request: ReceivedRequest, socket: Socket) {
        socket.send(signedStreamHead(request) + chunk(event(1)))
        release.await()
        socket.send(LAST_CHUNK)
    }
}
