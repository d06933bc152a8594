package corneltrack.router.relay

import corneltrack.policy.discovery.ClockReading
import corneltrack.policy.discovery.TopicWatermark
import corneltrack.wire.wireProtobuf
import kotlinx.serialization.encodeToByteArray
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ChangeJournalTest {
    private var nowMs = 1_000L
    private val journal = ChangeJournal()

    @Test
    fun `records that do not fit into a datagram are split into adjoining batches`() {
        (0L until 10L).forEach { journal.add(record(it, bytes = 3_000), nowMs) }

        val batches = journal.batches(at(12, era = 0), nowMs)

        assertEquals(0, batches.first().base)
        assertEquals(12, batches.last().end)
        batches.zipWithNext().forEach { (earlier, later) -> assertEquals(earlier.end, later.base) }
        assertEquals((0L until 10L).toList(), batches.flatMap { batch -> batch.records.map { it.offset } })
        assertTrue(batches.all { it.bytes <= 12_000 })
    }

    @Test
    fun `a digest with many short records fits into a datagram`() {
        (0L until 300L).forEach { journal.add(record(it), nowMs) }
        val watermarks = listOf("operator", "endpoints", "peers").associateWith {
            TopicWatermark(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE)
        }

        val sizes = journal.batches(at(Long.MAX_VALUE, era = 0), nowMs).map {
            val digest = PeerDigest("router", watermarks = watermarks, records = SharedRecords("endpoints", it))
            wireProtobuf.encodeToByteArray(digest).size
        }

        assertTrue(sizes.all { it <= 16_384 }, "sizes $sizes")
    }

    // A batch across a record that was left out would hide that record from the receiver.
    @Test
    fun `no batch spans a record that is too large for a datagram`() {
        journal.add(record(3), nowMs)
        journal.add(record(5, bytes = 20_000), nowMs)
        journal.add(record(8), nowMs)

        val ranges = journal.batches(at(9, era = 0), nowMs).map { it.base to it.end }

        assertEquals(listOf(0L to 5L, 6L to 9L), ranges)
    }

    @Test
    fun `a batch starts after the records that are no longer sent`() {
        journal.add(record(3), nowMs)
        nowMs += 5_000
        journal.add(record(8), nowMs)

        val batch = journal.batches(at(9, era = 0), nowMs).single()

        assertEquals(4, batch.base)
        assertEquals(listOf(8L), batch.records.map { it.offset })
    }

    @Test
    fun `a batch continues only a router within its range`() {
        val batch = RecordBatch(4, 9, listOf(SharedRecord(8, "key")))

        assertEquals((4L..8L).toList(), (0L..12L).filter { batch.continues(at(it, era = 0)) })
    }

    @Test
    fun `a batch with a record outside of its range is not taken`() {
        assertFalse(RecordBatch(4, 9, listOf(SharedRecord(9, "key"))).continues(at(4, era = 0)))
        assertFalse(RecordBatch(4, 9, listOf(SharedRecord(2, "key"))).continues(at(4, era = 0)))
    }

    // The deduplicator forgets the offset of a removed key, so that an older record of it would be taken for a new one.
    @Test
    fun `a batch or a read that was under way does not bring back a removed key`() {
        val present = HashSet<String>()
        val copy = TopicCopy({ ClockReading(nowMs, nowMs) }, { false }) {
            if (it.value == null) present.remove(it.key) else present.add(it.key)
        }
        val written = record(2)
        val removed = KeyedRecord("key", null, at(4, era = 0))
        assertEquals(2, copy.take(RecordBatch(0, 6, listOf(SharedRecord(written), SharedRecord(removed)))))

        copy.read(TopicResponse.Records(listOf(written), next = at(3, era = 0), end = at(3, era = 0)))
        copy.take(RecordBatch(0, 8, listOf(SharedRecord(written), SharedRecord(7, "other", ByteArray(1)))))

        assertEquals(setOf("other"), present)
        assertEquals(8, copy.next.offset)
    }

    private fun record(offset: Long, bytes: Int = 10) = KeyedRecord("key", ByteArray(bytes), at(offset, era = 0))
}
