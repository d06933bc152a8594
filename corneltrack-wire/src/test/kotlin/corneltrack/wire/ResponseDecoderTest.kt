package corneltrack.wire

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import kotlin.test.Test
import kotlin.test.assertEquals

private const val TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~"
private const val TAB = 9
private const val DELETE = 127
private const val BYTES = 256

/** Guards against bytes that the grammar of HTTP/1.1 forbids and that reach a client as a response. */
class ResponseDecoderTest {
    @Test
    fun `a status line is read only as the grammar has it`() {
        val allowed = listOf("HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 599 é", "HTTP/1.1 100 C")
        val forbidden = listOf(
            "HTTP/1.1 000 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 20 Odd",
            "HTTP/1.1 0200 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2 0 OK", "HTTP/1.1 OK",
            "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", "HTTP/1.10 200 OK", "HTTP/1 200 OK",
            "XTTP/1.1 200 OK", "HTTP/1.1 200 a\u0001b", "HTTP/1.1 200 a\u007fb", " HTTP/1.1 200 OK",
            "\r\nHTTP/1.1 200 OK", "\u0000HTTP/1.1 200 OK", "garbage", "",
        )

        assertReadable(allowed, forbidden) { "$it\r\ncontent-length: 0\r\n\r\n" }
    }

    @Test
    fun `a field is read only as the grammar has it`() {
        val allowed = listOf("x: 1", "x:1", "X-odd:\t1 ", "x:", "x: a b\tc", "x: é")
        val forbidden = listOf(
            "x odd: 1", "x : 1", "x\t: 1", " x: 1", ": 1", "x", "x odd", "x: a\u0000b", "x: a\u0001b", "x: a\u007fb",
            "x: a\rb",
            "transfer-encoding: gzip", "transfer-encoding: gzip, chunked", "transfer-encoding: chunked, chunked",
            "content-length: 1, 2", "content-length: -1", "content-length: x",
        )

        assertReadable(allowed, forbidden) { "HTTP/1.1 204 None\r\n$it\r\n\r\n" }
        assertReadable(allowed, forbidden.takeWhile { "transfer" !in it }) {
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n$it\r\n\r\n"
        }
    }

    @Test
    fun `a field name holds only the characters of a token and a value no control character`() {
        val bytes = 0 until BYTES
        val named = bytes.filter { isReadable("HTTP/1.1 204 None\r\nx${it.toChar()}y: 1\r\n\r\n") }
        val valued = bytes.filter { isReadable("HTTP/1.1 204 None\r\nx: a${it.toChar()}b\r\n\r\n") }

        val token = ('0'..'9') + ('a'..'z') + ('A'..'Z') + TOKEN_PUNCTUATION.toList() + ':'
        assertEquals(token.map { it.code }.sorted(), named, "in a name")
        assertEquals(bytes.filter { it == TAB || it >= ' '.code && it != DELETE }, valued, "in a value")
    }

    @Test
    fun `the size of a chunk is read only as the grammar has it`() {
        val allowed = listOf("4", "04", "4;a=b")
        val forbidden = listOf("0x4", "+4", "-4", "4g", "")

        assertReadable(allowed, forbidden) {
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n$it\r\nbody\r\n0\r\n\r\n"
        }
    }

    @Test
    fun `each response on a connection is held to the grammar`() {
        val first = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"

        assertEquals(true, isReadable(first + first))
        assertEquals(false, isReadable("$first\r\n$first"), "an empty line between two")
    }

    private fun assertReadable(allowed: List<String>, forbidden: List<String>, response: (String) -> String) {
        assertEquals(emptyList(), allowed.filterNot { isReadable(response(it)) }, "not read though allowed")
        assertEquals(emptyList(), forbidden.filter { isReadable(response(it)) }, "read though forbidden")
    }

    /** Whether all of [text] is decoded without a failure, whole and in pieces of one byte alike. */
    private fun isReadable(text: String): Boolean {
        val bytes = text.toByteArray(Charsets.ISO_8859_1)
        val results = listOf(listOf(bytes), bytes.map { byteArrayOf(it) }).map(::decodes).distinct()
        return results.single()
    }

    private fun decodes(pieces: List<ByteArray>): Boolean {
        val channel = EmbeddedChannel(ResponseDecoder())
        pieces.forEach { channel.writeInbound(Unpooled.wrappedBuffer(it)) }
        channel.finish()
        val messages = generateSequence { channel.readInbound<HttpObject>() }.toList()
        messages.forEach { ReferenceCountUtil.release(it) }
        return messages.isNotEmpty() && messages.none { it.decoderResult().isFailure }
    }
}
