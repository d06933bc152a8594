package corneltrack.router.callers

import corneltrack.wire.DecoderGate
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val MAXIMUM_HEAD_BYTES = 1_024
private const val MAXIMUM_HEAD_LINES = 100
private const val TURNED_AWAY = "Come back later."

class EncodedResponseTest {
    private val refusal =
        Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "busy", TURNED_AWAY, retryAfterMs = 1_500)

    @Test
    fun `each of several callers gets the whole refusal on a connection that stays open`() {
        repeat(2) {
            val response = exchange("GET", closes = false)

            assertTrue(response.startsWith("HTTP/1.1 503 Service Unavailable\r\n"), response)
            assertContains(response, "\r\nretry-after: 1.500\r\n")
            assertContains(response, "\r\n$OUTCOME_HEADER: not-run\r\n")
            assertFalse("connection:" in response, response)
            val body = response.substringAfter("\r\n\r\n")
            assertContains(body, TURNED_AWAY)
            assertContains(response, "\r\ncontent-length: ${body.length}\r\n")
        }
    }

    @Test
    fun `a refusal says that it closes the connection`() {
        assertContains(exchange("GET", closes = true), "\r\nconnection: close\r\n")
    }

    @Test
    fun `the answer to a HEAD request has the length of the body but no body`() {
        val response = exchange("HEAD", closes = false)

        assertTrue(response.endsWith("\r\n\r\n"), response)
        assertEquals(exchange("GET", closes = false).substringBefore("\r\n\r\n"), response.removeSuffix("\r\n\r\n"))
    }

    private fun exchange(method: String, closes: Boolean): String {
        val channel = EmbeddedChannel(StrictServerCodec(MAXIMUM_HEAD_BYTES, MAXIMUM_HEAD_LINES, OpenGate))
        channel.writeInbound(Unpooled.copiedBuffer("$method / HTTP/1.1\r\nhost: x\r\n\r\n", Charsets.US_ASCII))
        channel.writeOutbound(refusal.encoded(closes))
        return generateSequence { channel.readOutbound<ByteBuf>() }.joinToString("") { part ->
            part.toString(Charsets.UTF_8).also { part.release() }
        }
    }
}

private object OpenGate : DecoderGate {
    override val open: Boolean = true

    override fun onHeldBack(bytes: Int) = Unit

    override fun onHeadCost(costBytes: Int) = Unit
}
