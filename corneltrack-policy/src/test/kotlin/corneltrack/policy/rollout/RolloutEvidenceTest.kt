package corneltrack.policy.rollout

import corneltrack.world.InstanceId
import corneltrack.world.PoolId
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RolloutEvidenceTest {
    private val order = RolloutOrder(PoolId("p"), "v2", durationMs = 12_000, orderId = 7)

    private fun evidence(name: String, incarnationMs: Long = 1, order: RolloutOrder = this.order) =
        RolloutEvidence(order, InstanceId(name), incarnationMs, orderedAtMs = 0)

    private fun response(version: String = "v2", failed: Boolean = false, ratio: Double = 1.0, route: String = "r") =
        RolloutResponse(version, route, failed, ratio.takeUnless { failed }, ratio.takeUnless { failed })

    private fun RolloutEvidence.targetResponses() = routes.values.sumOf { route -> route.target.sumOf { it.responses } }

    @Test
    fun `lost, repeated and reordered reports come to the same counts`() {
        val sender = evidence("a")
        val reports = (1..6).map {
            sender.onResponse(response(failed = it % 2 == 0), nowMs = it * 2_000L)
            sender.snapshot()
        }
        val receiver = evidence("b")
        listOf(5, 1, 5, 0, 3).forEach { receiver.merge(reports[it]) }
        assertEquals(sender.routes.getValue("r").snapshot("r"), receiver.routes.getValue("r").snapshot("r"))
        assertEquals(6, receiver.targetResponses())
    }

    @Test
    fun `the counts of an earlier run of a router are kept beside those of the next`() {
        val receiver = evidence("b")
        for (incarnationMs in 1L..2L) {
            val sender = evidence("a", incarnationMs)
            sender.onResponse(response(), nowMs = 0)
            receiver.merge(sender.snapshot())
        }
        assertEquals(2, receiver.targetResponses())
    }

    @Test
    fun `a report on another order and one that comes back to its sender count for nothing`() {
        val other = evidence("a", order = order.copy(orderId = 6))
        other.onResponse(response(), nowMs = 0)
        val receiver = evidence("b")
        assertFalse(receiver.merge(other.snapshot()))
        receiver.onResponse(response(), nowMs = 0)
        assertFalse(receiver.merge(receiver.snapshot()))
        assertEquals(1, receiver.targetResponses())
    }

    /** A histogram with a first bucket far out of range would allocate a list of that length. */
    @Test
    fun `counters out of range are ignored`() {
        val slice = SliceEvidence(responses = 1, firstEvents = RatioCounts(first = 1_000_000, counts = listOf(1)))
        val route = RouteEvidence("r", target = listOf(slice), baseline = emptyList())
        val snapshot = EvidenceSnapshot(order.pool, order.orderId, InstanceId("a"), 1, listOf(route))
        assertFalse(evidence("b").merge(snapshot))
    }

    @Test
    fun `the counters of five routes fit a quarter of a digest`() {
        val random = Random(1)
        val sender = evidence("a")
        repeat(3_000) {
            val version = if (random.nextInt(12) == 0) "v2" else "v1"
            sender.onResponse(
                response(version, random.nextInt(20) == 0, random.ratio(0.5), "route-${random.nextInt(5)}"),
                nowMs = it * 4L,
            )
        }
        val size = ProtoBuf.encodeToByteArray(sender.snapshot()).size
        assertTrue(size <= 4_096, "$size bytes")
    }

    @Test
    fun `a report that says nothing new is told apart`() {
        val sender = evidence("a")
        sender.onResponse(response(), nowMs = 0)
        val receiver = evidence("b")
        assertTrue(receiver.merge(sender.snapshot()))
        assertFalse(receiver.merge(sender.snapshot()))
        assertFalse(receiver.merge(sender.snapshot().copy()))
    }
}
