package corneltrack.policy.placement

import kotlin.test.Test
import kotlin.test.assertEquals

class PrefixReportsTest {
    private val reports = PrefixReports()

    @Test
    fun `only prefixes added after the given time are reported`() {
        reports.add(listOf(1), 100)
        reports.add(listOf(2, 3), 200)

        assertEquals(listOf(2L, 3L), reports.since(100))
        assertEquals(emptyList(), reports.since(200))
    }

    @Test
    fun `a digest holds no more than the newest prefixes`() {
        (1L..200L).forEach { reports.add(listOf(it), it) }

        assertEquals((153L..200L).toList(), reports.since(0))
    }

    @Test
    fun `a prefix is news for peers only if it had not been confirmed lately`() {
        val cache = PrefixCacheEstimate()

        assertEquals(listOf(1L, 2L), cache.onConfirmed(listOf(1, 2), 0))
        assertEquals(listOf(3L), cache.onConfirmed(listOf(1, 2, 3), 1_000))
        assertEquals(listOf(1L), cache.onConfirmed(listOf(1), 3_000))
    }

    @Test
    fun `a prefix that a peer confirmed counts as cached`() {
        val cache = PrefixCacheEstimate()
        val segments = promptSegments(listOf(1, 2), listOf(100, 10))

        cache.onConfirmed(listOf(segments.first().prefixHash), 0)

        assertEquals(100, cache.cachedTokens(segments, 1_000, 1_000))
        assertEquals(0, cache.cachedTokens(segments, 1_001, 1_000))
    }
}
