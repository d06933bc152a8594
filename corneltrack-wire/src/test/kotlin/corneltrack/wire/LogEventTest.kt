package corneltrack.wire

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class LogEventTest {
    @Test
    fun `a plain value is not quoted`() {
        assertEquals("w01", escapeLogValue("w01"))
    }

    @Test
    fun `a value with spaces and quotes is quoted and escaped`() {
        assertEquals("\"a \\\"b\\\" c\"", escapeLogValue("a \"b\" c"))
    }

    @Test
    fun `a value cannot inject a line or a field`() {
        val forged = escapeLogValue("x\nlevel=INFO event=forged\r\u2028")
        assertFalse(forged.any { it == '\n' || it == '\r' || it == '\u2028' }, forged)
        assertEquals('"' to '"', forged.first() to forged.last())
    }
}
