package corneltrack.policy

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SupportedSlotsTest {
    @Test
    fun `however routers split, their allocators together never lend more than the limit`() {
        for (listed in 1..14) {
            for (limit in listOf(1, 2, 3, 8, 16, 31)) {
                splits(listed, listed).forEach { split ->
                    val lent = split.sumOf { supportedSlots(limit, it, listed) }
                    assertTrue(lent <= limit, "split $split of $listed lends $lent of $limit")
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
    fun `the loss of one router in three costs no slot of a small endpoint`() {
        assertEquals(8, supportedSlots(8, supporters = 2, listed = 3))
    }

    /** Returns every way to split [total] routers into groups no larger than [largest]. */
    private fun splits(total: Int, largest: Int): List<List<Int>> = when (total) {
        0 -> listOf(emptyList())
        else -> (1..minOf(total, largest)).flatMap { group -> splits(total - group, group).map { it + group } }
    }
}
