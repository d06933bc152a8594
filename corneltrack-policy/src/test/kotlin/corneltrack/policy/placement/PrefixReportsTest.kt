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
}
