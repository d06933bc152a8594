package corneltrack.router.callers

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlin.test.Test
import kotlin.test.assertEquals

class CompactHeadersTest {
    @Test
    fun `all lines come back in their order with their values as received`() {
        val lines = listOf("Host" to "a:80", "x-e" to "", "X-Twice" to "1", "x-twice" to "2", "x" to "\u00e9: b")
        val headers = DefaultHttpHeaders().also { all -> lines.forEach { (name, value) -> all.add(name, value) } }

        val restored = DefaultHttpHeaders().also(CompactHeaders(headers)::addTo)

        assertEquals(lines, restored.map { it.key to it.value })
    }

    @Test
    fun `no headers take no memory`() {
        assertEquals(0, CompactHeaders(DefaultHttpHeaders()).sizeBytes)
    }
}
