package corneltrack.policy.limits

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EndpointHealthTest {
    private val health = EndpointHealth()

    @Test
    fun `an unreachable endpoint is ejected at once, for longer each time`() {
        assertTrue(health.onSignal(EndpointSignal.UNREACHABLE, 0))
        assertTrue(health.isEjected(499))
        assertFalse(health.isEjected(500))

        health.onSignal(EndpointSignal.UNREACHABLE, 500)
        assertTrue(health.isEjected(1_499))
        assertFalse(health.isEjected(1_500))
    }

    @Test
    fun `an endpoint that fails a fifth of its requests is not ejected`() {
        repeat(100) { health.onSignal(if (it % 5 == 0) EndpointSignal.FAILED else EndpointSignal.GOOD, it.toLong()) }

        assertFalse(health.isEjected(100))
    }

    @Test
    fun `an endpoint that fails most of its requests is ejected`() {
        repeat(8) { health.onSignal(EndpointSignal.FAILED, 0) }

        assertTrue(health.isEjected(0))
    }
}
