package corneltrack.policy.placement

import kotlin.test.Test
import kotlin.test.assertEquals

class PrefixCacheEstimateTest {
    private val cache = PrefixCacheEstimate()
    private val segments = promptSegments(listOf(1, 2, 3), listOf(100, 200, 300))

    @Test
    fun `a segment counts only if all segments before it are cached`() {
        cache.onSent(segments, 0, 1_000)

        assertEquals(600, cache.cachedTokens(segments, 0, 1_000))
        assertEquals(300, cache.cachedTokens(promptSegments(listOf(1, 2, 9), listOf(100, 200, 300)), 0, 1_000))
        assertEquals(0, cache.cachedTokens(promptSegments(listOf(9, 2, 3), listOf(100, 200, 300)), 0, 1_000))
    }

    @Test
    fun `a segment expires after the retention time`() {
        cache.onSent(segments, 0, 1_000)

        assertEquals(600, cache.cachedTokens(segments, 1_000, 1_000))
        assertEquals(0, cache.cachedTokens(segments, 1_001, 1_000))
    }

    @Test
    fun `a prefix is news for peers only if it had not been confirmed lately`() {
        assertEquals(listOf(1L, 2L), cache.onConfirmed(listOf(1, 2), 0))
        assertEquals(listOf(3L), cache.onConfirmed(listOf(1, 2, 3), 1_000))
        assertEquals(listOf(1L), cache.onConfirmed(listOf(1), 3_000))
    }

    @Test
    fun `a prefix that a peer confirmed counts as cached`() {
        cache.onConfirmed(listOf(segments.first().prefixHash), 0)

        assertEquals(100, cache.cachedTokens(segments, 1_000, 1_000))
        assertEquals(0, cache.cachedTokens(segments, 1_001, 1_000))
    }

    // Guards against prompts of very many parts, whose entries fill the heap for as long as engines keep them.
    @Test
    fun `estimates of all engines together hold no more than their capacity`() {
        val capacity = PrefixCapacity(1_000)
        val estimates = List(10) { PrefixCacheEstimate(capacity) }

        (0L until 300L).forEach { prompt ->
            val parts = List(200) { prompt * 200 + it }
            estimates[(prompt % 10).toInt()].onSent(promptSegments(parts, parts.map { 1 }), prompt, 60_000)
        }

        assertEquals(1_000, capacity.heldSegments)
        estimates.forEach { it.close() }
        assertEquals(0, capacity.heldSegments)
    }

    @Test
    fun `an engine with few segments forgets none to make room for others`() {
        val capacity = PrefixCapacity(100)
        val small = PrefixCacheEstimate(capacity)
        val large = PrefixCacheEstimate(capacity)
        small.onSent(segments, 0, 60_000)

        large.onConfirmed((1L..500L).toList(), 0)

        assertEquals(600, small.cachedTokens(segments, 0, 60_000))
        assertEquals(100, capacity.heldSegments)
    }
}
