package corneltrack.router.relay

import corneltrack.policy.discovery.TopicWatermark
import kotlin.test.Test
import kotlin.test.assertFalse

private const val TAKEN = "corneltrack_relay_peer_records_total{topic=\"endpoints\"}"
private const val READ = "corneltrack_relay_store_reads_total{cause=\"announced\",topic=\"endpoints\"}"

/** The routers of a region from which on they share records. */
private const val LARGE_REGION = 9

class RecordSharingSwitchTest {
    @Test
    fun `a router of a large region under contention takes the records of a peer`() =
        runRouter(LARGE_REGION, RelayFeatures(contention = true)) {
            awaitMetric(TAKEN)
        }

    @Test
    fun `a router of a large region with roll-outs takes the records of a peer`() =
        runRouter(LARGE_REGION, RelayFeatures(rollouts = true)) {
            awaitMetric(TAKEN)
        }

    @Test
    fun `a router without these features reads an announced change from the store`() =
        runRouter(LARGE_REGION, RelayFeatures()) {
            awaitMetric(READ)
            assertFalse(TAKEN in metrics())
        }

    @Test
    fun `a router of a small region reads an announced change from the store`() =
        runRouter(LARGE_REGION - 1, RelayFeatures(rollouts = true, contention = true)) {
            awaitMetric(READ)
            assertFalse(TAKEN in metrics())
        }

    private fun runRouter(routers: Int, features: RelayFeatures, action: RelayFixture.() -> Unit) =
        RelayFixture(features = features).use { fixture ->
            (1 until routers).forEach { fixture.announcePeer("peer-$it") }
            fixture.start()
            fixture.action()
        }

    /** Sends records of a peer until the router shows [metric]. */
    private fun RelayFixture.awaitMetric(metric: String) {
        val records = SharedRecords(
            "endpoints",
            RecordBatch(0, 1, listOf(SharedRecord(0, "endpoint")), era = at(0).era)
        )
        await("the router to count $metric") {
            val watermark = TopicWatermark(1, 1, ageMs = 0, System.currentTimeMillis(), era = at(0).era)
            sendDigest(PeerDigest("peer-1", watermarks = mapOf("endpoints" to watermark), records = records))
            metric in metrics()
        }
    }
}
