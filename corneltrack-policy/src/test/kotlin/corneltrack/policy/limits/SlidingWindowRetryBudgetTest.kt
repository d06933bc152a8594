package corneltrack.policy.limits

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SlidingWindowRetryBudgetTest {
    @Test
    fun `one retry is allowed for every five requests in the window`() {
        val budget = SlidingWindowRetryBudget(0.2, 10_000)
        repeat(5) { budget.onRequest(0) }

        assertTrue(budget.tryRetry(0))
        assertFalse(budget.tryRetry(0))
        assertFalse(budget.tryRetry(10_000), "requests outside the window allow no retry")
    }

    @Test
    fun `the ratio holds for the fleet in each window however requests are distributed`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val routers = List(9) { SlidingWindowRetryBudget(0.2, 10_000) }
            val requests = ArrayList<Long>()
            val retries = ArrayList<Long>()
            for (nowMs in 0L until 30_000 step 50) {
                val router = routers[random.nextInt(routers.size)]
                if (random.nextInt(3) > 0) {
                    router.onRequest(nowMs)
                    requests += nowMs
                }
                if (router.tryRetry(nowMs)) retries += nowMs
            }
            for (end in 10_000L..30_000 step 500) {
                val inWindow = { atMs: Long -> atMs in (end - 10_000) until end }
                // A retry in the window may count on requests up to one window before it.
                val inTwoWindows = { atMs: Long -> atMs in (end - 20_000) until end }
                assertTrue(
                    retries.count(inWindow) <= 0.2 * requests.count(inTwoWindows),
                    "seed $seed: ${retries.count(inWindow)} retries in the window up to $end ms, allowed 1 in 5",
                )
            }
        }
    }
}
