package corneltrack.policy.limits

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SlidingWindowRetryBudgetTest {
    @Test
    fun `one repeat is allowed for each five requests of the window`() {
        val allowance = SlidingWindowRetryBudget(0.2, 10_000)
        repeat(5) { allowance.onRequest(0) }

        assertTrue(allowance.tryRetry(0))
        assertFalse(allowance.tryRetry(0))
        assertFalse(allowance.tryRetry(10_000), "requests past the window allow nothing")
    }

    @Test
    fun `the bound holds for the fleet in each window however requests are spread`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val routers = List(9) { SlidingWindowRetryBudget(0.2, 10_000) }
            val requests = ArrayList<Long>()
            val repeats = ArrayList<Long>()
            for (nowMs in 0L until 30_000 step 50) {
                val router = routers[random.nextInt(routers.size)]
                if (random.nextInt(3) > 0) {
                    router.onRequest(nowMs)
                    requests += nowMs
                }
                if (router.tryRetry(nowMs)) repeats += nowMs
            }
            for (end in 10_000L..30_000 step 500) {
                val inWindow = { atMs: Long -> atMs in (end - 10_000) until end }
                val before = { atMs: Long -> atMs in (end - 20_000) until end }
                assertTrue(
                    repeats.count(inWindow) <= 0.2 * requests.count(before),
                    "seed $seed: ${repeats.count(inWindow)} repeats in the window up to $end ms",
                )
            }
        }
    }
}
