package corneltrack.policy.placement

import kotlin.test.Test
import kotlin.test.assertTrue

private const val SEEDS = 4

/** How much worse than the best of all strategies the chosen one may be, since the runs are few. */
private const val NEARLY_BEST_FACTOR = 1.3

/** Compares ways to choose among endpoints that change their pace; the table is in docs/design/unequal-endpoints.md. */
class ServiceFleetTest {
    private val today = ServiceStrategy("today", ServiceFleetModel.TODAY, paceBelief = false, digests = false)
    private val ownPlaces =
        ServiceStrategy("own places, connected, belief, digests", ::chooseConnectedOfTwo, hold = HoldRule.OWN_PLACES)
    private val chosen =
        ServiceStrategy("held when full, connected, belief, digests", ::chooseConnectedOfTwo, hold = HoldRule.WHEN_FULL)
    private val strategies = listOf(
        today,
        ServiceStrategy("least time, belief", ServiceFleetModel.LEAST, digests = false),
        ServiceStrategy("least time, belief, digests", ServiceFleetModel.LEAST),
        ServiceStrategy("of two", ::chooseOfTwo, paceBelief = false, digests = false),
        ServiceStrategy("of two, digests", ::chooseOfTwo, paceBelief = false),
        ServiceStrategy("of two, belief", ::chooseOfTwo, digests = false),
        ServiceStrategy("of two, belief, digests", ::chooseOfTwo),
        ServiceStrategy("weighted", ServiceFleetModel.WEIGHTED, paceBelief = false, digests = false),
        ServiceStrategy("weighted, belief, digests", ServiceFleetModel.WEIGHTED),
        ServiceStrategy("of two or connected, belief, digests", ::chooseConnectedOfTwo),
        ServiceStrategy("own places", ::chooseOfTwo, paceBelief = false, digests = false, hold = HoldRule.OWN_PLACES),
        ServiceStrategy("own places, belief, digests", ::chooseOfTwo, hold = HoldRule.OWN_PLACES),
        ownPlaces,
        chosen,
    )

    @Test
    fun `the choice serves about as many in time as the best that needs no known queue and opens fewer connections`() {
        for (routers in listOf(63, 88)) {
            val outcomes = strategies.associateWith { play(ServiceFleetPlan(routers = routers), it) }
            val table = outcomes.entries.joinToString("\n") { "$routers ${it.key.name}: ${it.value}" }

            println(table)
            val found = outcomes.getValue(chosen)
            val least = outcomes.filterKeys { it.hold != HoldRule.OWN_PLACES }.values.minOf { it.missed }

            assertTrue(
                found.missed <= least * NEARLY_BEST_FACTOR,
                table
            )
            assertTrue(found.missed < outcomes.getValue(today).missed / 2, table)
            assertTrue(found.connectionsOpened < outcomes.getValue(today).connectionsOpened, table)
        }
    }

    @Test
    fun `at three times the load or with half of the endpoints fewer requests miss the objective than today`() {
        val threefold = ServiceFleetPlan(requestsPerSecond = 363.0, burstFactor = 2.0)
        for (plan in listOf(threefold, ServiceFleetPlan(endpoints = 3))) {
            val before = play(plan, today)
            val found = play(plan, chosen)
            println("$plan\ntoday: $before\nchosen: $found\nown places: ${play(plan, ownPlaces)}")

            assertTrue(found.missed < before.missed, "missed ${found.missed}, today ${before.missed}")
            assertTrue(found.refused < before.refused, "refused ${found.refused}, today ${before.refused}")
        }
    }

    @Test
    fun `the choice still misses fewer than today if most digests or all of them are lost`() {
        val before = play(ServiceFleetPlan(), today)

        for (loss in listOf(0.6, 1.0)) {
            val found = play(ServiceFleetPlan(digestLoss = loss), chosen)
            println("digest loss $loss: $found")
            assertTrue(
                found.missed < before.missed,
                "missed ${found.missed} at a loss of $loss, today ${before.missed}"
            )
        }
    }

    @Test
    fun `where no endpoint changes its pace the choice misses no more than today`() {
        val plan = ServiceFleetPlan(slowFactor = 1.0)
        val before = play(plan, today)
        val found = play(plan, chosen)

        assertTrue(found.missed <= before.missed, "missed ${found.missed}, today ${before.missed}")
    }

    private fun play(plan: ServiceFleetPlan, strategy: ServiceStrategy): ServiceOutcomes =
        (1..SEEDS).map { ServiceFleetModel(plan.copy(seed = it), strategy).play() }.reduce(ServiceOutcomes::plus)
}
