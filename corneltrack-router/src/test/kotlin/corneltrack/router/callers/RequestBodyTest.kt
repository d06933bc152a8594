package corneltrack.router.callers

import corneltrack.router.digest
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val LIMIT_BYTES = 1_000_000
private val BODY = ByteArray(72_000) { (it % 251).toByte() }

/** Guards against bodies that take several times the memory that is accounted for them. */
class RequestBodyTest {
    private val memory = BodyMemory(maximumBytes = 10L * LIMIT_BYTES, shortBytes = 0)

    @Test
    fun `a body in chunks of any size is accounted by little more than it and comes back whole`() {
        for (chunkBytes in listOf(1, 7, 600, 8_192, 20_000)) {
            val body = RequestBody(head(), LIMIT_BYTES, memory.newPart())
            BODY.asList().chunked(chunkBytes).forEach { chunk ->
                assertTrue(body.add(Unpooled.wrappedBuffer(chunk.toByteArray())))
                assertTrue(memory.heldBytes >= chunk.size, "held ${memory.heldBytes}")
            }
            assertTrue(memory.heldBytes in BODY.size..BODY.size + 20_000L, "held ${memory.heldBytes}")

            val content = body.content()

            assertEquals(BODY.size.toLong(), memory.heldBytes)
            assertContentEquals(BODY, content.toByteArray(), "chunks of $chunkBytes bytes")
            assertEquals(digest("a", BodyContent(BODY)), digest("a", content))
            body.release()
            assertEquals(0, memory.heldBytes)
        }
    }

    @Test
    fun `a body of announced length is one array that is accounted before it arrives`() {
        val head = head().also { it.headers().setInt("content-length", BODY.size) }
        val body = RequestBody(head, LIMIT_BYTES, memory.newPart())

        assertTrue(body.reserve())
        assertEquals(BODY.size.toLong(), memory.heldBytes)
        body.add(Unpooled.wrappedBuffer(BODY, 0, 10_000))
        body.add(Unpooled.wrappedBuffer(BODY, 10_000, BODY.size - 10_000))
        val content = body.content()

        assertTrue(content.toByteBuf().hasArray(), "several arrays")
        assertContentEquals(BODY, content.toByteArray())
        assertEquals(BODY.size.toLong(), memory.heldBytes)
    }

    @Test
    fun `a body beyond its limit is too large and one without room is not`() {
        val long = RequestBody(head(), BODY.size - 1, memory.newPart())
        assertFalse(long.add(Unpooled.wrappedBuffer(BODY)))
        assertTrue(long.tooLarge)

        val other = BodyMemory(maximumBytes = 10_000, shortBytes = 0)
        other.newPart().tryHold(5_000)
        val refused = RequestBody(head(), LIMIT_BYTES, other.newPart())
        assertFalse(refused.add(Unpooled.wrappedBuffer(BODY)))
        assertFalse(refused.tooLarge)
    }

    private fun head(): HttpRequest = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/")
}
