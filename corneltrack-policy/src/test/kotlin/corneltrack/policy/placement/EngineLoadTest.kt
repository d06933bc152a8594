package corneltrack.policy.placement

import corneltrack.world.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EngineLoadTest {
    private val load = EngineLoad()
    private val prompt = generation(1, 0, 5_000)

    @Test
    fun `a request counts as pending prefill until its first event and as running until its end`() {
        val request = load.onSent(prompt, 5_000, 0)
        assertEquals(LoadSummary(5_000, 1, 5_100), load.ownLoad)

        load.onFirstEvent(request, 100.0)
        load.onFirstEvent(request, 100.0)
        assertEquals(LoadSummary(0, 1, 5_100), load.ownLoad)

        load.onEnd(request)
        load.onEnd(request)
        assertEquals(LoadSummary(0, 0, 0), load.ownLoad)
    }

    @Test
    fun `a request that ends before its first event releases its tokens`() {
        load.onEnd(load.onSent(prompt, 5_000, 0))

        assertEquals(LoadSummary(0, 0, 0), load.ownLoad)
    }

    @Test
    fun `the load of a peer counts until its report times out`() {
        load.onPeer(InstanceId("peer"), LoadSummary(7_000, 2, 9_000), 0)
        load.onSent(prompt, 5_000, 0)

        assertEquals(LoadSummary(12_000, 3, 14_100), load.total(4_000))
        assertEquals(LoadSummary(5_000, 1, 5_100), load.total(4_001))
    }

    @Test
    fun `the prefill time follows the waits for first events`() {
        repeat(100) {
            val request = load.onSent(prompt, 5_000, 0)
            load.onFirstEvent(request, FIRST_EVENT_OVERHEAD_MS + 500)
            load.onEnd(request)
        }

        assertTrue(load.prefillMsPerToken in 0.09..0.11, "expected 0.09 to 0.11 ms, found ${load.prefillMsPerToken}")
    }
}
