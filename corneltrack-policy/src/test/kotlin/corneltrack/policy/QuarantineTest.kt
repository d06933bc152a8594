package corneltrack.policy

import corneltrack.world.EndpointId
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class QuarantineTest {
    private val quarantine = Quarantine(retentionMs = 1_000)

    @Test
    fun `crashes of two different endpoints quarantine a request`() {
        assertFalse(quarantine.onSuspicion(Suspicion("poison", EndpointId("a"), "a@1", 0), nowMs = 0))
        assertTrue(quarantine.isSuspect("poison", 0))
        assertTrue(quarantine.onSuspicion(Suspicion("poison", EndpointId("b"), "b@1", 10), nowMs = 10))
        assertFalse(quarantine.isQuarantined("innocent", 10))
    }

    @Test
    fun `two crashes of one endpoint do not quarantine a request`() {
        quarantine.onSuspicion(Suspicion("unlucky", EndpointId("a"), "a@1", 0), nowMs = 0)
        assertFalse(quarantine.onSuspicion(Suspicion("unlucky", EndpointId("a"), "a@2", 10), nowMs = 10))
    }

    // Guards against a hash of each request's body, for good, after a single lost connection.
    @Test
    fun `requests are looked up only while one is quarantined`() {
        quarantine.onSuspicion(Suspicion("poison", EndpointId("a"), "a@1", 0), nowMs = 0)
        assertFalse(quarantine.mayHoldAny(1), "looked up for one suspicion")
        quarantine.onSuspicion(Suspicion("poison", EndpointId("b"), "b@1", 10), nowMs = 10)
        assertTrue(quarantine.mayHoldAny(1_009), "looked up during the quarantine")
        assertFalse(quarantine.mayHoldAny(1_010), "looked up after the quarantine")
    }

    @Test
    fun `quarantine expires`() {
        quarantine.onSuspicion(Suspicion("poison", EndpointId("a"), "a@1", 0), nowMs = 0)
        quarantine.onSuspicion(Suspicion("poison", EndpointId("b"), "b@1", 0), nowMs = 0)
        assertTrue(quarantine.isQuarantined("poison", 999))
        assertFalse(quarantine.isQuarantined("poison", 1_000))
    }
}
