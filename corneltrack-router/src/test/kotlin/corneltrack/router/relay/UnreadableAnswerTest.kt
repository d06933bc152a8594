package corneltrack.router.relay

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val CALLS = 6
private const val LATE = "HTTP/1.1 200 OK\r\nrequest: old\r\nsignature: s\r\ncontent-length: 4\r\n\r\nlate"

// Guards against endpoints that stutter, and do not crash, getting innocent requests quarantined.
class UnreadableAnswerTest {
    private val fixture = RelayFixture(timeoutMs = 60_000)

    @AfterTest
    fun stop() = fixture.close()

    @Test
    fun `a late response that ends with its connection quarantines no request`() =
        assertServedAfterwards("HTTP/1.1 200 OK\r\nrequest: old\r\nsignature: s\r\n\r\nlate")

    @Test
    fun `an unsigned refusal that states no request id quarantines no request`() =
        assertServedAfterwards("HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 4\r\n\r\nlate")

    @Test
    fun `more late responses than are skipped quarantine no request`() = assertServedAfterwards(LATE.repeat(4))

    @Test
    fun `half of a late response quarantines no request`() = assertServedAfterwards("HTTP/1.1 200 OK\r\n")

    /** Checks that a request is served by endpoints that have sent [stray] before each response to the same request. */
    private fun assertServedAfterwards(stray: String) {
        listOf("a", "b").forEach { name ->
            fixture.endpoint(name, "services") { request, socket ->
                val stutters = request.id.orEmpty().startsWith("stuttered")
                socket.send((if (stutters) stray else "") + signedResponse(request, "own"))
            }
        }
        fixture.start()
        fixture.awaitEndpointsRead()
        repeat(20) { fixture.call("/once/fill-retry-budget", "filling-$it") }
        repeat(CALLS) { fixture.call("/many/x", "stuttered-$it") }

        val response = fixture.call("/many/x", "afterwards")

        assertTrue(response.startsWith("HTTP/1.1 200"), "found $response")
    }

    // Guards against answers whose heads the grammar of HTTP/1.1 forbids and that reach a client as answers.
    @Test
    fun `a response with a status or a field name that the grammar forbids reaches no caller`() {
        val odd = listOf(
            "HTTP/1.1 000 Odd" to "",
            "HTTP/1.1 999 Odd" to "",
            "HTTP/1.1 200 OK" to "x odd: 1\r\n",
            "HTTP/1.1 200 OK" to "x-odd : 1\r\n",
            "HTTP/1.1 200 OK" to "x\u0001odd: 1\r\n",
            "HTTP/1.1 200 OK" to "transfer-encoding: gzip\r\n",
        )
        listOf("services", "engines").forEach { pool ->
            fixture.endpoint(pool, pool) { request, socket ->
                val (statusLine, field) = odd[request.headers.getValue("odd").toInt()]
                socket.send("$statusLine\r\n${field}request: ${request.id}\r\nsignature: s\r\n\r\n${event(1)}")
                socket.close()
            }
        }
        fixture.start()

        val responses = odd.indices.flatMap { index ->
            listOf("/once/x", "/stream/x").map { path ->
                fixture.call(path, "$index-$path", headers = "odd: $index\r\ntokens: 10\r\n")
            }
        }

        assertEquals(emptyList(), responses.filterNot { it.startsWith("HTTP/1.1 50") })
        assertEquals(emptyList(), responses.filter { "piece-1" in it })
    }
}
