package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Confirmation
import corneltrack.policy.discovery.ConfirmationSource
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

    // Operators and endpoints write again what the store lost; content must not go back meanwhile.
    @Test
    fun `a load of a newer era changes nothing that is known until what was lost had time to be written again`() {
        load(end = 6, record("key", "new", 4), record("lost", "here", 5))

        load(end = 3, record("key", "old", 2, era = 2), record("other", "here", 1, era = 2), era = 2)

        assertEquals(mapOf("key" to "new", "lost" to "here", "other" to "here"), states)
        confirmAfter(SETTLING_MS - 1)
        assertEquals(mapOf("key" to "new", "lost" to "here", "other" to "here"), states)
        confirmAfter(SETTLING_MS)
        assertEquals(mapOf("key" to "old", "other" to "here"), states)
    }

    @Test
    fun `a record written after the load of a newer era counts at once and what was held back no more`() {
        load(end = 6, record("key", "new", 4), record("lost", "here", 5))
        load(end = 3, record("key", "old", 2, era = 2), era = 2)

        val written = listOf(record("key", "newer", 3, era = 2), record("lost", "here", 4, era = 2))
        copy.read(TopicResponse.Records(written, next = at(5, era = 2), end = at(5, era = 2)))

        assertEquals(mapOf("key" to "newer", "lost" to "here"), states)
        confirmAfter(SETTLING_MS)
        assertEquals(mapOf("key" to "newer", "lost" to "here"), states)
    }

    @Test
    fun `neither a batch nor a watermark of another era is taken`() {
        load(end = 5, record("key", "ready", 4, era = 2), era = 2)

        listOf(1L, 3L).forEach { era ->
            val records = listOf(SharedRecord(5, "key", "old".toByteArray()))
            assertEquals(0, copy.take(RecordBatch(0, 9, records, era = StoreEra(era))))
            copy.skipHeartbeats(TopicWatermark(9, 1, 0, NOW_MS, era = StoreEra(era)))
        }

        assertEquals(at(5, era = 2), copy.next)
        assertEquals(mapOf("key" to "ready"), states)
    }

    // A peer that loaded the copy lacks the record, so that it must learn of it.
    @Test
    fun `the first record of a key in an era counts as a change though its content is known`() {
        load(end = 5, record("key", "ready", 4))
        load(end = 3, era = 2)

        val written = listOf(record("key", "ready", 3, era = 2), record("key", "ready", 4, era = 2))
        copy.read(TopicResponse.Records(written, next = at(5, era = 2), end = at(5, era = 2)))

        assertEquals(at(4, era = 2), copy.lastChangeEnd)
        assertEquals(listOf(3L), copy.batches().single().records.map { it.offset })
    }

    private fun load(end: Long, vararg records: KeyedRecord, era: Long = 1) {
        val load = copy.beginLoad()
        copy.load(TopicResponse.Newest(records.toList(), next = null, end = at(end, era)), load)
        copy.finish(load)
    }

    /** Confirms the copy as of [spanMs] after the loads. */
    private fun confirmAfter(spanMs: Long) {
        val asOf = ClockReading(NOW_MS + spanMs, NOW_MS + spanMs)
        copy.confirm(Confirmation(asOf, ConfirmationSource.READ, copy.next))
    }

    private fun apply(record: KeyedRecord): Boolean {
        val state = record.value?.let { String(it) }
        val previous = if (state == null) states.remove(record.key) else states.put(record.key, state)
        return previous != state
    }

    private fun record(key: String, state: String, offset: Long, era: Long = 1) =
        KeyedRecord(key, state.toByteArray(), at(offset, era))
}
