package corneltrack.router.relay

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val MAXIMUM_BYTES = 100L
private const val TINY_CHUNKS_A_SECOND = 16_384

class ResponseMemoryTest {
    private val memory = ResponseMemory(MAXIMUM_BYTES)

    // Guards against many endless responses that together fill a memory which each of them alone would not.
    @Test
    fun `all responses together hold no more than the maximum`() {
        val first = memory.newPart()
        val second = memory.newPart()

        assertTrue(first.tryHold(60))
        assertFalse(second.tryHold(41), "held more than the maximum")
        assertTrue(second.tryHold(40))
        assertFalse(first.tryHold(61), "grown beyond the maximum")
        assertTrue(first.tryHold(10), "shrunk")
        assertEquals(50, memory.heldBytes)
    }

    @Test
    fun `what a response held is free once it is released`() {
        val part = memory.newPart()
        part.tryHold(100)

        part.release()
        part.release()

        assertEquals(0, memory.heldBytes)
        assertTrue(memory.newPart().tryHold(100))
    }

    // Guards against pieces of a byte without end, which take the processor from all other requests.
    @Test
    fun `too many short pieces within a second are noticed and as many over two are not`() {
        val chunks = TinyChunks()
        val sound = TinyChunks()
        repeat(TINY_CHUNKS_A_SECOND) { assertFalse(chunks.onChunk(1, nowMs = it / 100L)) }

        assertTrue(chunks.onChunk(1, nowMs = 999))
        assertFalse(chunks.onChunk(1, nowMs = 1_000), "the next second")
        repeat(2 * TINY_CHUNKS_A_SECOND) { assertFalse(sound.onChunk(1, nowMs = it / 16L)) }
        repeat(2 * TINY_CHUNKS_A_SECOND) { assertFalse(sound.onChunk(64, nowMs = 5_000)) }
    }
}
