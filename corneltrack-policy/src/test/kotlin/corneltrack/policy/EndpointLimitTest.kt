package corneltrack.policy

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EndpointLimitTest {
    @Test
    fun `the limit starts at the cold-start limit and grows only while the endpoint is full`() {
        val limit = EndpointLimit(coldLimit = 2, ceiling = 8)
        repeat(100) { limit.onOutcome(EndpointOutcome.SUCCESS, 10, inFlight = 1, nowMs = 0) }
        assertEquals(2, limit.current)
        repeat(100) { limit.onOutcome(EndpointOutcome.SUCCESS, 10, inFlight = 8, nowMs = 0) }
        assertEquals(8, limit.current)
    }

    @Test
    fun `the limit does not grow while the endpoint reports a cold start`() {
        val limit = EndpointLimit(coldLimit = 2, ceiling = 8)
        limit.onReport(EndpointReport("a", 2, cold = true, atMs = 0))
        repeat(100) { limit.onOutcome(EndpointOutcome.SUCCESS, 10, inFlight = 2, nowMs = 0) }
        assertEquals(2, limit.current)
    }

    @Test
    fun `any sign of a cold start resets the limit to the cold-start limit`() {
        val causes = listOf<(EndpointLimit) -> Unit>(
            { it.onReport(EndpointReport("b", 0, cold = false, atMs = 0)) },
            { it.onReport(EndpointReport("a", 0, cold = true, atMs = 0)) },
            { it.onOutcome(EndpointOutcome.BROKEN, 0, inFlight = 8, nowMs = 0) },
        )
        causes.forEachIndexed { index, cause ->
            val limit = EndpointLimit(coldLimit = 2, ceiling = 8, initial = 8)
            limit.onReport(EndpointReport("a", 8, cold = false, atMs = 0))
            assertEquals(8, limit.current)
            cause(limit)
            assertEquals(2, limit.current, "cause $index")
            assertTrue(limit.cold, "cause $index")
        }
    }

    @Test
    fun `after a broken connection the limit does not grow before reports can show a cold start`() {
        val limit = EndpointLimit(coldLimit = 2, ceiling = 8, initial = 8, reportLagMs = 1_500)
        limit.onOutcome(EndpointOutcome.BROKEN, 0, inFlight = 8, nowMs = 1_000)
        repeat(100) { limit.onOutcome(EndpointOutcome.SUCCESS, 10, inFlight = 2, nowMs = 2_499) }
        assertEquals(2, limit.current)
        limit.onOutcome(EndpointOutcome.SUCCESS, 10, inFlight = 2, nowMs = 2_500)
        assertEquals(3, limit.current)
    }

    @Test
    fun `a refused request shrinks the limit but not below the cold-start limit`() {
        val limit = EndpointLimit(coldLimit = 2, ceiling = 10, initial = 10)
        limit.onOutcome(EndpointOutcome.REFUSED, 0, inFlight = 10, nowMs = 0)
        assertEquals(7, limit.current)
        repeat(20) { limit.onOutcome(EndpointOutcome.REFUSED, 0, inFlight = 10, nowMs = 0) }
        assertEquals(2, limit.current)
    }
}
