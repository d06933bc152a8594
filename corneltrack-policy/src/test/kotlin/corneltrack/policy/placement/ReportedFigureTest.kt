package corneltrack.policy.placement

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val SPELL_MS = 600.0
private const val REPORT_EVERY_MS = 50L
private const val STEPS = 4_000
private const val SLOW = 2.5
private const val SLOW_FRACTION = 0.15

class ReportedFigureTest {
    private val correlation = ReportCorrelation()
    private val figure = ReportedFigure(1.0, correlation)

    @Test
    fun `a report is worth less the older it is and the mean is that of the time`() {
        val lastMs = reportSpells(SPELL_MS)

        assertTrue(figure.mean in 1.1..1.4, "expected about 1.22, found ${figure.mean}")
        val worths = listOf(20L, 90L, 390L, 790L).map { correlation.worth(it) }
        assertEquals(worths.sortedDescending(), worths)
        assertTrue(worths.first() > 0.8, "a new report is worth ${worths.first()}")
        assertTrue(worths.last() < 0.5, "a report of 790 ms is worth ${worths.last()}")
        assertEquals(figure.mean, figure.at(lastMs + 1_001), "an old report counts as the mean")
    }

    @Test
    fun `a figure that changes faster than it is reported is worth nothing`() {
        reportSpells(spellMs = 1.0)

        assertTrue(correlation.worth(40) < 0.15, "worth ${correlation.worth(40)}")
    }

    @Test
    fun `without pairs of reports a report is worth nothing`() {
        figure.onReport(SLOW, 1_000)

        assertEquals(figure.mean, figure.at(1_000))
        assertTrue(figure.mean < 1.1, "one report counts for the time it covers, found ${figure.mean}")
    }

    @Test
    fun `a report that is older than the last changes nothing`() {
        figure.onReport(2.0, 1_000)
        val before = figure.mean

        assertFalse(figure.onReport(9.0, 999))
        assertEquals(before, figure.mean)
        assertEquals(5, figure.ageMs(1_005))
    }

    /** Reports a figure that jumps between 1 and [SLOW]; returns the time of the last report. */
    private fun reportSpells(spellMs: Double): Long {
        val random = Random(1)
        var slow = false
        val toUsual = 1 - Math.exp(-REPORT_EVERY_MS / spellMs)
        repeat(STEPS) { step ->
            val change = if (slow) toUsual else toUsual * SLOW_FRACTION / (1 - SLOW_FRACTION)
            if (random.nextDouble() < change) slow = !slow
            figure.onReport(if (slow) SLOW else 1.0, step * REPORT_EVERY_MS)
        }
        return (STEPS - 1) * REPORT_EVERY_MS
    }
}
