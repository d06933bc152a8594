package corneltrack.policy.rollout

import corneltrack.world.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class TrialShareTest {
    private fun endpoints(count: Int) = List(count) { EndpointId("e$it") }

    @Test
    fun `a router sends at most its share at any time, and nothing in advance`() {
        val share = TrialShare()
        repeat(1_000) {
            share.onRequest()
            share.tryTake()
            assertTrue(share.taken <= TRIAL_SHARE * share.requests)
        }
        assertEquals(80, share.taken)
    }

    @Test
    fun `a share that was not used is kept`() {
        val share = TrialShare()
        repeat(100) { share.onRequest() }
        assertEquals(8, (1..20).count { share.tryTake() })
    }

    /** With ten requests at each of 95 routers, none reaches its first whole trial request without credits. */
    @Test
    fun `credits round the shares of many routers to the share of all requests`() {
        val shares = List(95) { TrialShare(firstCredit = firstTrialCredit(it, 95)) }
        val taken = shares.sumOf { share ->
            (1..10).count {
                share.onRequest()
                share.tryTake()
            }
        }
        assertEquals(76.0, taken.toDouble(), absoluteTolerance = 1.0)
        assertEquals(0.0, firstTrialCredit(0, 1))
    }

    @Test
    fun `a router that hears nothing for a second takes no part in a trial`() {
        assertTrue(mayTrial(lastHeardFromStoreOrPeerMs = 500, nowMs = 1_500))
        assertFalse(mayTrial(lastHeardFromStoreOrPeerMs = 500, nowMs = 1_501))
    }

    @Test
    fun `a trial loads as few endpoints as carry what an old one carries`() {
        assertEquals(endpoints(2), trialPlan(endpoints(24).shuffled(), baselineEndpoints = 24).endpoints)
        assertEquals(1.0, trialPlan(endpoints(24), baselineEndpoints = 24).openShare)
        assertEquals(5, trialPlan(endpoints(63), baselineEndpoints = 63).endpoints.size)
        assertEquals(1, trialPlan(endpoints(1), baselineEndpoints = 63).endpoints.size)
    }

    @Test
    fun `a share too small for one endpoint is saved up and spent at the load of an old one`() {
        val plan = trialPlan(endpoints(6), baselineEndpoints = 6)
        assertEquals(1, plan.endpoints.size)
        val open = (0L until 20_000L).count { plan.open(it) } / 20_000.0
        assertEquals(TRIAL_SHARE * 6 / (1 - TRIAL_SHARE), open, absoluteTolerance = 0.02)
    }

    @Test
    fun `a pool without endpoints has no plan`() {
        assertEquals(emptyList(), trialPlan(emptyList(), baselineEndpoints = 0).endpoints)
    }
}
