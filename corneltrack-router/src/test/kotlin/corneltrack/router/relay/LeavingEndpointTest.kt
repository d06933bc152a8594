package corneltrack.router.relay

import corneltrack.world.MemberState
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val REQUESTS = 20
private const val STARTED_AT_MS = 1L

/**
 * Guards against requests that are sent to an endpoint until it exits, and lost with it, although its responses say
 * that it leaves: the store's list may be out of reach or behind.
 */
class LeavingEndpointTest {
    private val fixture = RelayFixture()

    @AfterTest
    fun stop() = fixture.close()

    @Test
    fun `an endpoint that says in a response that it leaves gets no more while the store is away`() {
        val leaving = endpoint("a") { leavingResponse(it) }
        val staying = endpoint("b", dataCentre = "there") { signedResponse(it, "done") }
        fixture.start()
        fixture.setStoreUnavailable(true)

        val statuses = List(REQUESTS) { fixture.call("/once/x").take(12) }

        assertEquals(listOf("HTTP/1.1 200"), statuses.distinct())
        assertEquals(listOf(1, REQUESTS - 1), listOf(leaving, staying).map { it.requests.size })
        await("the idle connection to the leaving endpoint to be closed") { leaving.closedByPeer.isNotEmpty() }
    }

    @Test
    fun `an endpoint that says so in a refusal gets no more`() {
        val leaving = endpoint("a") {
            "HTTP/1.1 503 Full\r\nrequest: ${it.id}\r\nnot-run: 1\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n"
        }
        endpoint("b", dataCentre = "there") { signedResponse(it, "done") }
        fixture.start()

        val statuses = List(REQUESTS) { fixture.call("/many/x").take(12) }

        assertTrue(statuses.drop(1).all { it == "HTTP/1.1 200" }, "found $statuses")
        assertEquals(1, leaving.requests.size, "requests to the leaving endpoint")
    }

    @Test
    fun `a stream whose head says so goes on to its end and later ones go elsewhere`() {
        val released = CountDownLatch(1)
        val leaving = fixture.endpoint("a") { request, socket ->
            socket.send(leavingHead(request) + chunk(event(1)))
            released.await()
            socket.send(chunk(event(2)) + LAST_CHUNK)
        }
        fixture.start()
        var stream = ""
        val caller = thread { stream = fixture.call("/stream/x", headers = "tokens: 10\r\n") }
        await("the endpoint to be known to leave") { leavingCount("response") == 1 }
        val refused = fixture.call("/stream/x", headers = "tokens: 10\r\n")
        released.countDown()
        caller.join()

        assertContains(refused, "no endpoint, leaving 1")
        assertTrue("piece-2" in stream && stream.endsWith(LAST_CHUNK), "found $stream")
        assertEquals(1, leaving.requests.size, "requests to the leaving endpoint")
    }

    @Test
    fun `an endpoint of which a peer says that it leaves gets no more`() {
        val leaving = endpoint("a") { signedResponse(it, "done") }
        fixture.start()

        fixture.sendDigest(
            PeerDigest("peer", mapOf("a" to EndpointDigest(0, 0, 0, STARTED_AT_MS, leavingAgeMs = 10))),
        )
        await("the endpoint to be known to leave") { leavingCount("peer") == 1 }

        assertTrue(fixture.call("/once/x").startsWith("HTTP/1.1 503"))
        assertEquals(0, leaving.requests.size, "requests to the leaving endpoint")
    }

    @Test
    fun `an entry of the store that still calls the endpoint live does not bring it back but a restart does`() {
        val first = fixture.endpoint("a") { request, socket -> socket.send(leavingStream(request)) }
        fixture.start()
        fixture.call("/stream/x", headers = "tokens: 10\r\n")

        fixture.listEndpoint("a", first.address, state = MemberState.LIVE)
        fixture.awaitEndpointsRead()
        assertContains(fixture.call("/stream/x", headers = "tokens: 10\r\n"), "no endpoint, leaving 1")

        fixture.restartEngine("a", first.address, startedAtMs = STARTED_AT_MS + 1)
        fixture.awaitEndpointsRead()
        assertTrue(fixture.call("/stream/x", headers = "tokens: 10\r\n").startsWith("HTTP/1.1 200"))
    }

    @Test
    fun `what another server at the endpoint's address or an unsigned response says is not believed`() {
        var statement = "HTTP/1.1 421 Other\r\nleaving: 1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
        val endpoint = endpoint("a") { statement }
        fixture.start()
        fixture.call("/once/x")
        statement = "HTTP/1.1 200 OK\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n"
        fixture.call("/once/x")
        fixture.call("/once/x")

        assertEquals(3, endpoint.requests.size, "requests to the endpoint")
    }

    private fun endpoint(name: String, dataCentre: String = "here", response: (ReceivedRequest) -> String) =
        fixture.endpoint(name, "services", dataCentre) { request, socket -> socket.send(response(request)) }

    private fun leavingResponse(request: ReceivedRequest) =
        signedResponse(request, "done").replace("signature: s", "signature: s\r\nleaving: 1")

    private fun leavingStream(request: ReceivedRequest) =
        leavingHead(request) + chunk(event(1)) + LAST_CHUNK

    private fun leavingHead(request: ReceivedRequest) =
        signedStreamHead(request).replace("signature: s", "signature: s\r\nleaving: 1")

    /** Returns how many endpoints were learned to leave from [source]. */
    private fun leavingCount(source: String): Int {
        val name = "corneltrack_relay_leaving_endpoints_total{source=\"$source\"} "
        val line = fixture.metrics().lines().firstOrNull { it.startsWith(name) }
        return line?.removePrefix(name)?.toDouble()?.toInt() ?: 0
    }
}
