package corneltrack.router.relay

/**
 * Holds one record of a topic that keeps the newest record of each key.
 *
 * @property value the content; null where the key was removed.
 */
public class KeyedRecord(public val key: String, public val value: ByteArray?, public val offset: Long)

/** Answers a call to a topic. */
public sealed interface TopicResponse {
    /**
     * Holds newest records by key, a part of all.
     *
     * @property next the key to continue after, or null where these are the last.
     * @property end the offset after the topic's last record.
     */
    public class Newest(public val records: List<KeyedRecord>, public val next: String?, public val end: Long) :
        TopicResponse

    /**
     * Holds records in the order of their offsets.
     *
     * @property next the offset to read on from.
     * @property end the offset after the topic's last record.
     */
    public class Records(public val records: List<KeyedRecord>, public val next: Long, public val end: Long) :
        TopicResponse

    /** Records from the requested offset on are no longer kept. */
    public data object Expired : TopicResponse

    /** The store did not answer, or not sensibly. */
    public data class Unavailable(val reason: String) : TopicResponse
}

/**
 * Reads and writes one keyed topic of the platform's store.
 *
 * Each function calls back once, on the caller's event loop, also where the store is silent.
 *
 * @property newest reads the newest records of keys after a key; null for the first. Gives up after `timeoutMs`.
 * @property read reads records from an offset on, and waits up to some ms for the first. Gives up `timeoutMs` after
 *   that wait.
 * @property write sets or, with a null value, removes a key.
 */
public class KeyedTopic(
    public val newest: (after: String?, timeoutMs: Long, onResponse: (TopicResponse) -> Unit) -> Unit,
    public val read: (from: Long, waitMs: Long, timeoutMs: Long, onResponse: (TopicResponse) -> Unit) -> Unit,
    public val write: (key: String, value: ByteArray?, onDone: (Boolean) -> Unit) -> Unit,
)
