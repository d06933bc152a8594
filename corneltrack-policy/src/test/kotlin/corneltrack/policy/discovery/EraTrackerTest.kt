package corneltrack.policy.discovery

import kotlin.test.Test
import kotlin.test.assertEquals

class EraTrackerTest {
    private val tracker = EraTracker()

    @Test
    fun `a response that states no era is of the newest known one`() {
        assertEquals(EraObservation.Current(StoreEra.UNSTATED), tracker.observe(null))
        tracker.observe(StoreEra(4))

        assertEquals(EraObservation.Current(StoreEra(4)), tracker.observe(null))
    }

    @Test
    fun `an era rises once and never falls`() {
        assertEquals(EraObservation.Risen(StoreEra(4), StoreEra.UNSTATED), tracker.observe(StoreEra(4)))
        assertEquals(EraObservation.Risen(StoreEra(6), StoreEra(4)), tracker.observe(StoreEra(6)))
        assertEquals(EraObservation.Ended(StoreEra(5), StoreEra(6)), tracker.observe(StoreEra(5)))
        assertEquals(EraObservation.Current(StoreEra(6)), tracker.observe(StoreEra(6)))
    }
}
