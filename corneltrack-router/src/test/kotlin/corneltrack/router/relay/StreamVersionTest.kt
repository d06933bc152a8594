package corneltrack.router.relay

import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val GENERATION = "tokens: 10\r\n"

/** Checks that no stream holds events of two versions of an endpoint's software. */
class StreamVersionTest {
    private val fixture = RelayFixture(RelayBounds(maximumViewAgeMs = 500), timeoutMs = 60_000)

    @AfterTest
    fun stop() = fixture.close()

    @Test
    fun `a broken stream does not go on at another version than the one that began it`() {
        val endpoints = listOf("a" to "old", "b" to "new").map { (name, version) ->
            fixture.versionedEndpoint(name, version, script = ::breakOff)
        }
        fixture.start()
        fillRetryBudget()

        val response = fixture.call("/resumed/x", headers = GENERATION)

        assertEquals(event(1) + event(2), decodeChunks(response))
        assertFalse(response.endsWith(LAST_CHUNK), "found $response")
        assertEquals(1, endpoints.sumOf { it.resumable.size })
    }

    @Test
    fun `a broken stream goes on at the version that began it though more endpoints have another`() {
        val old = listOf("a", "b").map { fixture.versionedEndpoint(it, "old", script = ::breakOff) }
        val new = listOf("c", "d", "e").map {
            fixture.versionedEndpoint(it, "new", dataCentre = "there", script = ::breakOff)
        }
        fixture.start()
        fillRetryBudget()

        val response = fixture.call("/resumed/x", headers = GENERATION)

        assertEquals((1..4).joinToString("") { event(it) }, decodeChunks(response))
        assertTrue(response.endsWith(LAST_CHUNK), "found $response")
        assertEquals(setOf(null, "2"), old.flatMap { it.resumable }.map { it.headers["last-event"] }.toSet())
        assertTrue(new.all { it.resumable.isEmpty() })
    }

    @Test
    fun `a stream that its caller takes up goes on at the version that began it`() {
        val old = fixture.versionedEndpoint("a", "old", dataCentre = "there", script = ::breakOff)
        fixture.start()
        assertEquals(event(1) + event(2), decodeChunks(fixture.call("/resumed/x", id = "first", headers = GENERATION)))
        val new = listOf("b", "c", "d").map { fixture.versionedEndpoint(it, "new", script = ::breakOff) }
        fixture.awaitEndpointsRead()

        val response = fixture.call("/resumed/x", id = "second", headers = takingUp("first"))

        assertEquals(event(3) + event(4), decodeChunks(response))
        assertEquals(listOf(null, "2"), old.resumable.map { it.headers["last-event"] })
        assertTrue(new.all { it.resumable.isEmpty() })
    }

    @Test
    fun `a stream that no router knows is refused while there are two versions`() {
        val endpoints = listOf("a" to "old", "b" to "new").map { (name, version) ->
            fixture.versionedEndpoint(name, version, script = ::breakOff)
        }
        fixture.start()

        val response = fixture.call("/resumed/x", headers = takingUp("elsewhere"))

        assertTrue(response.startsWith("HTTP/1.1 503 "), "found $response")
        assertTrue("retry-after" in response.lowercase(), "found $response")
        assertTrue(endpoints.all { it.resumable.isEmpty() })
    }

    // Guards against streams joined from two versions at a router that was out of step while the second one joined.
    @Test
    fun `a router that cannot read the store lets no stream go on that it does not know`() {
        val old = fixture.versionedEndpoint("a", "old", script = ::breakOff)
        fixture.start()
        fixture.setStoreUnavailable(true)
        val refused = { fixture.call("/added/x").startsWith("HTTP/1.1 503 ") }
        await("the router to be out of step", refused)
        val new = fixture.versionedEndpoint("b", "new", script = ::breakOff)

        val outOfStep = fixture.call("/resumed/x", id = "first", headers = takingUp("elsewhere"))
        fixture.setStoreUnavailable(false)
        fixture.awaitEndpointsRead()
        val inStep = fixture.call("/resumed/x", id = "second", headers = takingUp("elsewhere"))

        listOf(outOfStep, inStep).forEach { assertTrue(it.startsWith("HTTP/1.1 503 "), "found $it") }
        assertTrue((old.resumable + new.resumable).isEmpty())
    }

    private fun takingUp(stream: String) = "${GENERATION}resumes: $stream\r\nlast-event: 2\r\n"

    private fun fillRetryBudget() = repeat(10) { fixture.call("/stream/x", headers = GENERATION) }

    private val ScriptedEndpoint.resumable get() = requests.filter { it.line.startsWith("POST /resumed/") }

    /** Breaks a new stream off after its second event, and sends the rest of one that goes on. */
    private fun breakOff(request: ReceivedRequest, socket: Socket) {
        val after = request.headers["last-event"]?.toInt() ?: 0
        if (after == 0) {
            socket.send(signedStreamHead(request) + chunk(event(1) + event(2)))
            socket.close()
        } else {
            socket.send(signedStreamHead(request) + chunk(event(after + 1) + event(after + 2)) + LAST_CHUNK)
        }
    }
}
