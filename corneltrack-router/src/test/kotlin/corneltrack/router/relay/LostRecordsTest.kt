package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.Confirmation
import corneltrack.policy.discovery.ConfirmationSource
import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.discovery.TopicPosition
import corneltrack.policy.discovery.TopicWatermark
import kotlin.test.Test
import kotlin.test.assertEquals

/** What a copy of a topic holds after the store came back from an older copy: era 2 begins, offsets go back. */
class LostRecordsTest {
    private var nowMs = 10_000L
    private val states = HashMap<String, String>()
    private val copy = TopicCopy({ ClockReading(nowMs, nowMs) }, { it == "versioned" }, ::apply)

    @Test
    fun `what the store lost is kept until it was not written again for two seconds`() {
        load(end = at(9), record("kept", "new", at(7)), record("older", "new", at(8)))

        load(end = at(3, era = 2), record("older", "old", at(2, era = 2)))

        assertEquals(mapOf("kept" to "new", "older" to "new"), states)
        confirmAfter(SETTLING_MS - 1)
        assertEquals(mapOf("kept" to "new", "older" to "new"), states)
        confirmAfter(1)
        assertEquals(mapOf("older" to "old"), states)
    }

    @Test
    fun `what is written after the load counts at once and what is written again changes nothing`() {
        load(end = at(9), record("kept", "new", at(7)), record("older", "new", at(8)))
        load(end = at(3, era = 2), record("older", "old", at(2, era = 2)))
        val written = listOf(record("kept", "new", at(3, era = 2)), record("older", "newest", at(4, era = 2)))

        copy.read(TopicResponse.Records(written, at(5, era = 2), at(5, era = 2)))

        assertEquals(mapOf("kept" to "new", "older" to "newest"), states)
        confirmAfter(SETTLING_MS)
        assertEquals(mapOf("kept" to "new", "older" to "newest"), states)
    }

    // The copy that the store came back from ends before what it lost.
    @Test
    fun `a record at the offset of the known one or above it is newer`() {
        load(end = at(9), record("key", "new", at(7)))

        load(end = at(9, era = 2), record("key", "newest", at(8, era = 2)))

        assertEquals(mapOf("key" to "newest"), states)
    }

    @Test
    fun `a record whose handler knows older content from newer is passed on`() {
        load(end = at(9), record("versioned", "new", at(7)))

        load(end = at(3, era = 2), record("versioned", "old", at(2, era = 2)))

        assertEquals(mapOf("versioned" to "old"), states)
    }

    // Guards against old content for good at a router that was starting when the store came back.
    @Test
    fun `what an attempt at the first load read of an older era does not stay`() {
        val load = copy.beginLoad()
        copy.load(
            TopicResponse.Newest(listOf(record("lost", "x", at(8)), record("key", "new", at(7))), "key", at(9)),
            load
        )
        load.restart(ClockReading(nowMs, nowMs))
        copy.load(TopicResponse.Newest(listOf(record("key", "old", at(2, era = 2))), null, at(3, era = 2)), load)
        copy.finish(load)

        confirmAfter(SETTLING_MS)

        assertEquals(mapOf("key" to "old"), states)
    }

    // A peer may have loaded the store before the record was written again.
    @Test
    fun `the first record of a key in an era is announced to peers`() {
        load(end = at(9), record("key", "new", at(7)))
        load(end = at(3, era = 2))

        copy.read(TopicResponse.Records(listOf(record("key", "new", at(3, era = 2))), at(4, era = 2), at(4, era = 2)))

        assertEquals(at(4, era = 2), copy.lastChangeEnd)
    }

    @Test
    fun `records and watermarks of another era are not taken`() {
        load(end = at(9), record("key", "new", at(7)))
        load(end = at(3, era = 2), record("key", "new", at(2, era = 2)))

        copy.take(RecordBatch(0, 12, listOf(SharedRecord(record("key", "stray", at(10)))), era = StoreEra(1)))
        copy.skipHeartbeats(TopicWatermark(12, 0, 0, nowMs, era = StoreEra(1)))

        assertEquals(at(3, era = 2), copy.next)
        assertEquals(mapOf("key" to "new"), states)
    }

    private fun confirmAfter(spanMs: Long) {
        nowMs += spanMs
        copy.confirm(Confirmation(ClockReading(nowMs, nowMs), ConfirmationSource.READ, copy.next))
    }

    private fun load(end: TopicPosition, vararg records: KeyedRecord) {
        val load = copy.beginLoad()
        copy.load(TopicResponse.Newest(records.toList(), next = null, end = end), load)
        copy.finish(load)
    }

    private fun apply(record: KeyedRecord): Boolean {
        val state = record.value?.let { String(it) }
        val previous = if (state == null) states.remove(record.key) else states.put(record.key, state)
        return previous != state
    }

    private fun record(key: String, state: String, position: TopicPosition) =
        KeyedRecord(key, state.toByteArray(), position)
}
