package corneltrack.router.relay

import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.discovery.TopicPosition

/**
 * A record of a topic that is compacted: the store keeps at least the newest record of each key.
 *
 * @property value the content; null if the key was removed.
 */
public class KeyedRecord(public val key: String, public val value: ByteArray?, public val position: TopicPosition)

/** The result of a call to a topic. */
public sealed interface TopicResponse {
    /**
     * One page of the newest records by key.
     *
     * @property next the key after which the next page starts, or null if this page is the last.
     * @property end the position after the topic's last record.
     */
    public class Newest(
        public val records: List<KeyedRecord>,
        public val next: String?,
        public val end: TopicPosition,
    ) : TopicResponse

    /**
     * Consecutive records in the order of their offsets.
     *
     * @property next the position of the next read.
     * @property end the position after the topic's last record.
     */
    public class Records(
        public val records: List<KeyedRecord>,
        public val next: TopicPosition,
        public val end: TopicPosition,
    ) : TopicResponse

    /** The store has deleted records at or after the requested position. */
    public data object Expired : TopicResponse

    /** The store is in [era], which began after that of the requested position had ended. */
    public data class NewEra(val era: StoreEra) : TopicResponse

    /** The store did not respond, refused the call or sent a response that cannot be decoded. */
    public data class Unavailable(val reason: String) : TopicResponse
}

/**
 * Reads and writes one compacted topic of the platform's store.
 *
 * Each function calls back exactly once, on the event loop that called it, even if the store does not respond.
 *
 * @property newest reads a page of the newest records, of the keys after `after`; null for the first page. Times out
 *   after `timeoutMs`.
 * @property read reads the records from a position on, as a long poll that waits up to `waitMs` for the first of them.
 *   Times out after `waitMs` and `timeoutMs` together.
 * @property write writes the record of a key, or removes the key if the value is null. Calls back with whether the
 *   store confirmed it.
 * @property writeAt writes the record of a key if the topic ends at a position, or nothing otherwise.
 */
public class KeyedTopic(
    public val newest: (after: String?, timeoutMs: Long, onResponse: (TopicResponse) -> Unit) -> Unit,
    public val read: (from: TopicPosition, waitMs: Long, timeoutMs: Long, onResponse: (TopicResponse) -> Unit) -> Unit,
    public val write: (key: String, value: ByteArray?, onDone: (Boolean) -> Unit) -> Unit,
    public val writeAt: (
        key: String,
        value: ByteArray,
        end: TopicPosition,
        onDone: (ConditionalWrite) -> Unit,
    ) -> Unit = { _, _, _, onDone -> onDone(ConditionalWrite.Unknown("not supported")) },
)

/** The result of a write under the condition that the topic ends at a given position. */
public sealed interface ConditionalWrite {
    /** The record was written at [position]. */
    public data class Written(val position: TopicPosition) : ConditionalWrite

    /**
     * Nothing was written, since the topic ends elsewhere.
     *
     * @property end the position after the topic's last record, or null if the store did not state it.
     */
    public data class Conflict(val end: TopicPosition?) : ConditionalWrite

    /** The store did not confirm the call; the record may have been written or may be written later. */
    public data class Unknown(val reason: String) : ConditionalWrite
}
