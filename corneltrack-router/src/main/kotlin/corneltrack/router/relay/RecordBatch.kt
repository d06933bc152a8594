package corneltrack.router.relay

import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.discovery.TopicPosition
import kotlinx.serialization.Serializable

/** What a record takes in a datagram beside its key and its value, in bytes, at most. */
private const val RECORD_OVERHEAD_BYTES = 32

/** A record as routers send it to each other; the value is null if the key was removed. */
@Serializable
internal class SharedRecord(val offset: Long, val key: String, val value: ByteArray? = null) {
    constructor(record: KeyedRecord) : this(record.position.offset, record.key, record.value)

    fun toKeyedRecord(era: StoreEra) = KeyedRecord(key, value, TopicPosition(era, offset))
}

/** The bytes that the record takes in a datagram, at most. */
internal val KeyedRecord.sharedBytes: Int
    get() = RECORD_OVERHEAD_BYTES + key.toByteArray().size + (value?.size ?: 0)

/**
 * States that [records] are all records of a topic from offset [base] up to [end] that change the state of a router.
 *
 * The store's log is append-only within an era, so the statement holds whenever and however often it arrives.
 *
 * @property records in the order of their offsets.
 * @property latestBase null if [records] are a range of the log. Otherwise the records result from a load of the newest
 *   record of each key, and bring up to date only a router whose next offset is from [base] to [latestBase]: a router
 *   that has read further may have read records that the load did not show.
 * @property era the era of all these offsets; [StoreEra.UNSTATED] in batches of routers that do not report it.
 */
@Serializable
internal class RecordBatch(
    val base: Long,
    val end: Long,
    val records: List<SharedRecord> = emptyList(),
    val latestBase: Long? = null,
    val era: StoreEra = StoreEra.UNSTATED,
) {
    /** The position from which a router reads on that has taken the records. */
    val endPosition: TopicPosition get() = TopicPosition(era, end)

    /** Returns [records] with their positions. */
    fun keyedRecords(): List<KeyedRecord> = records.map { it.toKeyedRecord(era) }

    /** The bytes that the records take in a datagram, at most. */
    val bytes: Int get() = keyedRecords().sumOf { it.sharedBytes }

    /** Whether a router that reads on at [next] may take the records and read on at [endPosition]. */
    fun continues(next: TopicPosition): Boolean = next.era == era &&
        next.offset in base..(latestBase ?: next.offset) && next.offset < end &&
        records.all { it.offset in base until end }
}

/**
 * Sent with a watermark by a router that shares records.
 *
 * @property topic the name of the topic of [batch].
 * @property batch null if there are none to send.
 */
@Serializable
internal class SharedRecords(val topic: String = "", val batch: RecordBatch? = null)
