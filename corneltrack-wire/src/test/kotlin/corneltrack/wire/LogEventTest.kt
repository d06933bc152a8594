package corneltrack.wire

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class LogEventTest {
    @Test
    fun `plain values stand as they are`() {
        assertEquals("w01", escapeLogValue("w01"))
    }

    @Test
    fun `spaces and quotes are quoted`() {
        assertEquals("\"a \\\"b\\\" c\"", escapeLogValue("a \"b\" c"))
    }

    @Test
    fun `no value can begin a line or a field of its own`() {
        val forged = escapeLogValue("x\nlevel=INFO event=forged\r\u2028")
        assertFalse(forged.any { it == '\n' || it == '\r' || it == '\u2028' }, forged)
        assertEquals('"' to '"', forged.first() to forged.last())
    }
}
