package corneltrack.policy

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SupportedSlotsTest {
    @Test
    fun `allocators with disjoint supporters together never lend more than the limit`() {
        for (listed in 1..14) {
            for (limit in listOf(1, 2, 3, 8, 16, 31)) {
                splits(listed, listed).forEach { split ->
                    val lent = split.sumOf { supportedSlots(limit, it, listed) }
                    assertTrue(lent <= limit, "supporters $split of $listed routers: $lent slots lent, limit $limit")
                }
            }
        }
    }

    @Test
    fun `full support lends the whole limit and no support lends nothing`() {
        assertEquals(8, supportedSlots(8, supporters = 3, listed = 3))
        assertEquals(0, supportedSlots(8, supporters = 0, listed = 3))
    }

    @Test
    fun `the loss of one router in three costs no slot of an endpoint with limit 8`() {
        assertEquals(8, supportedSlots(8, supporters = 2, listed = 3))
    }

    /** Returns all partitions of [total] routers into groups of at most [largest]. */
    private fun splits(total: Int, largest: Int): List<List<Int>> = when (total) {
        0 -> listOf(emptyList())
        else -> (1..minOf(total, largest)).flatMap { group -> splits(total - group, group).map { it + group } }
    }
}
