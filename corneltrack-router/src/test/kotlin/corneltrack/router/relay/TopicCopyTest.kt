package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.discovery.TopicWatermark
import io.netty.channel.embedded.EmbeddedChannel
import kotlin.test.Test
import kotlin.test.assertEquals

private const val NOW_MS = 1_000L

class TopicCopyTest {
    private val states = HashMap<String, String>()
    private val copy = TopicCopy({ ClockReading(NOW_MS, NOW_MS) }, { false }, ::apply)

    // A router that has read past the load's start may know a change that the load does not show.
    @Test
    fun `what a load showed continues only a router that had read no further than its start`() {
        val batch = RecordBatch(base = 4, end = 9, latestBase = 6, era = StoreEra(1))

        assertEquals(listOf(4L, 5L, 6L), (0L..12L).filter { batch.continues(at(it)) })
    }

    @Test
    fun `a read that was under way does not move the next offset back`() {
        load(end = 0)
        copy.take(RecordBatch(0, 6, listOf(SharedRecord(record("key", "ready", 5))), era = StoreEra(1)))

        copy.read(TopicResponse.Records(emptyList(), next = at(3), end = at(3)))

        assertEquals(6, copy.next.offset)
    }

    // The repeated page shows the record as known, so that a peer would never learn of it.
    @Test
    fun `a load that failed halfway still sends what its first page changed`() {
        load(end = 5, record("key", "ready", 4))
        val load = copy.beginLoad()
        val page = TopicResponse.Newest(listOf(record("key", "draining", 7)), next = "key", end = at(9))
        copy.load(page, load)
        load.restart(ClockReading(NOW_MS, NOW_MS))

        copy.load(TopicResponse.Newest(page.records, next = null, end = at(9)), load)
        copy.finish(load)

        val batch = copy.batches().single()
        assertEquals(listOf(7L), batch.records.map { it.offset })
        assertEquals(5, batch.latestBase)
    }

    @Test
    fun `records read after a load are for routers that have read up to its end`() {
        load(end = 5, record("key", "ready", 4))

        copy.read(TopicResponse.Records(listOf(record("key", "draining", 5)), next = at(6), end = at(6)))

        assertEquals(5, copy.batches().single().base)
        assertEquals(6, copy.sharedChangeEnd.offset)
    }

    // The newest records do not show a removal, so that the router must not vouch for the records before its load.
    @Test
    fun `a load announces a change up to its end`() {
        load(end = 8, record("key", "ready", 4))

        assertEquals(8, copy.sharedChangeEnd.offset)
    }

    // A load that is older than the records would move the state back.
    @Test
    fun `no records are taken from a peer during a load`() {
        val channel = EmbeddedChannel()
        val loads = ArrayList<(TopicResponse) -> Unit>()
        var taken = 0
        val topic = KeyedTopic(
            newest = { _, _, onResponse -> loads += onResponse },
            read = { _, _, _, onResponse -> onResponse(TopicResponse.Expired) },
            write = { _, _, _ -> error("nothing is written") },
        )
        val follower = TopicFollower(
            FollowedTopic("endpoints", topic, PollTiming(waitMs = 0, delayMs = 1_000)),
            channel.eventLoop(),
            { ClockReading(NOW_MS, NOW_MS) },
            { 1 },
            RecordSharing({ true }, onRecordsTaken = { _, records -> taken += records }),
            ::apply,
        )
        follower.start()
        loads.removeFirst()(TopicResponse.Newest(listOf(record("key", "ready", 4)), "key", at(5)))
        loads.removeFirst()(TopicResponse.Newest(emptyList(), null, at(5)))
        assertEquals(1, loads.size, "loads that started since the history expired")
        val batch = RecordBatch(5, 8, listOf(SharedRecord(record("key", "draining", 7))), era = StoreEra(1))

        follower.onWatermark(TopicWatermark(8, 8, 0, NOW_MS, era = StoreEra(1)), SharedRecords("endpoints", batch))

        assertEquals(0, taken)
        loads.removeFirst()(TopicResponse.Newest(listOf(record("key", "draining", 7)), null, at(8)))
        assertEquals(mapOf("key" to "draining"), states)
    }

    private fun load(end: Long, vararg records: KeyedRecord) {
        val load = copy.beginLoad()
        copy.load(TopicResponse.Newest(records.toList(), next = null, end = at(end)), load)
        copy.finish(load)
    }

    private fun apply(record: KeyedRecord): Boolean {
        val state = record.value?.let { String(it) }
        val previous = if (state == null) states.remove(record.key) else states.put(record.key, state)
        return previous != state
    }

    private fun record(key: String, state: String, offset: Long) = KeyedRecord(key, state.toByteArray(), at(offset))
}
