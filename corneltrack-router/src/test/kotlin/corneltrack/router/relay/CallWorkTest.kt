package corneltrack.router.relay

import corneltrack.policy.placement.Generation
import kotlin.test.Test
import kotlin.test.assertEquals

private val WHOLE = Generation(emptyList(), promptTokens = 1_893, outputTokens = 757)

class CallWorkTest {
    @Test
    fun `a stream that begins is expected to be generated as a whole`() = assertEquals(WHOLE, callWork(metadata(null)))

    // Guards against streams that are not taken up, as if all of their output still had to end by the deadline.
    @Test
    fun `of a stream that is taken up half is expected to be left`() =
        assertEquals(WHOLE.copy(outputTokens = 379), callWork(metadata(TakenUpStream("one"))))

    private fun metadata(takesUp: TakenUpStream?) =
        CallerMetadata("one", "host", "/", null, 6_000, cost = null, takesUp) { WHOLE }
}
