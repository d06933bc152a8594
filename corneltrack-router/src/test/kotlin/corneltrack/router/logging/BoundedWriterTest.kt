package corneltrack.router.logging

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val ENTRIES = 5_000
private const val CLOSE_TIMEOUT_MS = 30_000L
private val NOTE = Regex("""missing (\d+)""")

class BoundedWriterTest {
    private val unblocked = CountDownLatch(1)
    private val written = ByteArrayOutputStream()
    private val blocked = object : OutputStream() {
        override fun write(byte: Int) = write(byteArrayOf(byte.toByte()))

        override fun write(bytes: ByteArray, offset: Int, length: Int) {
            unblocked.await()
            written.write(bytes, offset, length)
        }
    }

    // Guards against a thread that waits for the reader of what it writes.
    @Test
    fun `entries beyond the bound are dropped while the stream blocks and a note counts them`() {
        val writer = writer(blocked)
        repeat(ENTRIES / 2) { writer.offer("entry") }
        unblocked.countDown()
        repeat(ENTRIES / 2) { writer.offer("entry") }

        writer.close(CLOSE_TIMEOUT_MS)

        val lines = written.toString(Charsets.UTF_8).lines().filter { it.isNotEmpty() }
        val missing = lines.mapNotNull { NOTE.matchEntire(it)?.groupValues?.get(1)?.toInt() }.sum()
        assertTrue(missing > 0, "nothing was dropped")
        assertEquals(ENTRIES, lines.count { it == "entry" } + missing)
    }

    @Test
    fun `a stream that refuses loses entries and stops nothing`() {
        val before = droppedEntries
        val writer = writer(object : OutputStream() {
            override fun write(byte: Int): Unit = throw IOException("no reader")
        })
        repeat(10) { writer.offer("entry") }

        writer.close(CLOSE_TIMEOUT_MS)

        assertTrue(droppedEntries - before >= 10, "dropped ${droppedEntries - before}")
    }

    private fun writer(stream: OutputStream) = BoundedWriter<String>(
        "test",
        stream,
        { "$it\n".toByteArray() },
        { "missing $it\n".toByteArray() },
    )
}
