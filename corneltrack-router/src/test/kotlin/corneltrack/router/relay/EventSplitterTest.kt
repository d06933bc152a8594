package corneltrack.router.relay

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals

private const val STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n: note\n\ndata: c\n\nid: 4\nda"

class EventSplitterTest {
    @Test
    fun `a stream splits into the same events for every chunk size`() {
        val unsplit = split(STREAM.length)

        assertEquals(listOf("1", "2", null, null), unsplit.ids)
        assertEquals(STREAM.removeSuffix("id: 4\nda"), unsplit.events.joinToString(""))
        assertEquals("id: 4\nda", unsplit.rest)
        (1 until STREAM.length).forEach { size -> assertEquals(unsplit, split(size), "chunks of $size bytes") }
    }

    private data class Split(val events: List<String>, val ids: List<String?>, val rest: String)

    private fun split(size: Int): Split = EventSplitter().use { splitter ->
        val events = STREAM.chunked(size).flatMap { splitter.feed(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }
        val texts = events.map { it.bytes.toString(Charsets.UTF_8) }
        Split(texts, events.map { it.id }, splitter.takePartialEvent().toString(Charsets.UTF_8))
    }
}
