package corneltrack.router.relay

import kotlin.test.Test
import kotlin.test.assertEquals

class CallTimesTest {
    @Test
    fun `a caller with less time left than others has waited on earlier tries`() {
        val times = callTimes(metadata(timeLeftMs = 6_000), timeoutMs = 5_000, longestMs = 10_000, nowMs = 100)

        assertEquals(CallTimes(100, 6_100, 5_100, earlierWaitMs = 2_500), times)
    }

    // Guards against streams that nobody takes up under load, as retries past their objective yield to all others.
    @Test
    fun `a caller that takes up a stream has not waited for the rest of it`() {
        val metadata = metadata(timeLeftMs = 6_000, TakenUpStream("one"))

        val times = callTimes(metadata, timeoutMs = 5_000, longestMs = 10_000, nowMs = 100)

        assertEquals(CallTimes(100, 6_100, 5_100, earlierWaitMs = 0), times)
    }

    private fun metadata(timeLeftMs: Long, takesUp: TakenUpStream? = null) =
        CallerMetadata("one", "host", "/", null, timeLeftMs, cost = null, takesUp) { null }
}
