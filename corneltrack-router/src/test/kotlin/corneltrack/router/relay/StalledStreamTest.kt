package corneltrack.router.relay

import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Longer than the route's pause limit, but too short to count as a stall. */
private const val HEALTHY_PAUSE_MS = 700L
private const val TRICKLE_INTERVAL_MS = 100L
private const val RESUMABLE_PATH = "/resumed/x"
private const val GENERATION_HEADER = "tokens: 100\r\n"

/**
 * Checks that a stalled stream is resumed at another endpoint, and a slow one is not.
 *
 * A stalled endpoint keeps its connection open but sends no complete event, so that no connection error ends the
 * attempt.
 */
class StalledStreamTest {
    private val fixture = RelayFixture(timeoutMs = 30_000)
    private val testEnded = CountDownLatch(1)

    @AfterTest
    fun stop() {
        testEnded.countDown()
        fixture.close()
    }

    @Test
    fun `a stream that stalls while single bytes still arrive resumes at another endpoint`() {
        val stalling = fixture.endpoint("a") { request, socket ->
            if (request.isResumable) {
                socket.send(signedStreamHead(request) + chunk(event(1)))
                socket.trickle()
            } else {
                socket.sendFrom(request)
            }
        }
        val healthy = fixture.endpoint("b", dataCentre = "there") { request, socket -> socket.sendFrom(request) }
        fixture.start()
        fillRetryBudget()

        val response = fixture.call(RESUMABLE_PATH, headers = GENERATION_HEADER)

        val pieces = Regex("piece-\\d").findAll(response).map { it.value }.toList()
        assertEquals(listOf("piece-1", "piece-2", "piece-3"), pieces)
        assertTrue(response.endsWith(LAST_CHUNK), "found $response")
        assertEquals("1", healthy.requests.last().headers["last-event"])
        await("the stalled connection to be closed") { stalling.closedByPeer.isNotEmpty() }
    }

    @Test
    fun `a slow stream that is not stalled is not aborted`() {
        val slow = fixture.endpoint("a") { request, socket ->
            if (request.isResumable) socket.sendSlowly(request) else socket.sendFrom(request)
        }
        val other = fixture.endpoint("b", dataCentre = "there") { request, socket -> socket.sendFrom(request) }
        fixture.start()
        fillRetryBudget()

        val response = fixture.call(RESUMABLE_PATH, headers = GENERATION_HEADER)

        assertEquals(4, Regex("piece-\\d").findAll(response).count(), "found $response")
        assertEquals(1, slow.requests.count { it.isResumable })
        assertFalse(other.requests.any { it.isResumable })
    }

    /** Sends enough requests for the retry budget to allow a retry. */
    private fun fillRetryBudget() = repeat(10) { fixture.call("/stream/x", headers = GENERATION_HEADER) }

    private val ReceivedRequest.isResumable: Boolean get() = line.startsWith("POST $RESUMABLE_PATH")

    private fun Socket.sendSlowly(request: ReceivedRequest) {
        send(signedStreamHead(request))
        (1..4).forEach {
            testEnded.await(HEALTHY_PAUSE_MS, TimeUnit.MILLISECONDS)
            send(chunk(event(it)))
        }
        send(LAST_CHUNK)
    }

    private fun Socket.trickle() {
        while (!testEnded.await(TRICKLE_INTERVAL_MS, TimeUnit.MILLISECONDS)) send(chunk(":"))
    }

    private fun Socket.sendFrom(request: ReceivedRequest) {
        val first = (request.headers["last-event"]?.toInt() ?: 0) + 1
        send(signedStreamHead(request) + (first..3).joinToString("") { chunk(event(it)) } + LAST_CHUNK)
    }
}
