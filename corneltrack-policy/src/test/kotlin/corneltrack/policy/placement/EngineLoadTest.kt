package corneltrack.policy.placement

import corneltrack.world.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EngineLoadTest {
    private val load = EngineLoad()
    private val request = generation(1, 0, 5_000)

    @Test
    fun `a request counts until its first event as unread and until its end as running`() {
        val run = load.onSent(request, 5_000, 0)
        assertEquals(LoadSummary(5_000, 1, 5_100), load.own)

        load.onFirstEvent(run, 100.0)
        load.onFirstEvent(run, 100.0)
        assertEquals(LoadSummary(0, 1, 5_100), load.own)

        load.onEnd(run)
        load.onEnd(run)
        assertEquals(LoadSummary(0, 0, 0), load.own)
    }

    @Test
    fun `a request that ends before its first event gives its tokens back`() {
        load.onEnd(load.onSent(request, 5_000, 0))

        assertEquals(LoadSummary(0, 0, 0), load.own)
    }

    @Test
    fun `what peers sent counts until they fall silent`() {
        load.onPeer(InstanceId("peer"), LoadSummary(7_000, 2, 9_000), 0)
        load.onSent(request, 5_000, 0)

        assertEquals(LoadSummary(12_000, 3, 14_100), load.total(4_000))
        assertEquals(LoadSummary(5_000, 1, 5_100), load.total(4_001))
    }

    @Test
    fun `the speed of reading follows what first events show`() {
        repeat(100) {
            val run = load.onSent(request, 5_000, 0)
            load.onFirstEvent(run, FIRST_EVENT_OVERHEAD_MS + 500)
            load.onEnd(run)
        }

        assertTrue(load.prefillMsPerToken in 0.09..0.11, "expected about 0.1 ms a token, found ${load.prefillMsPerToken}")
    }
}
