package corneltrack.router.relay.streams

import corneltrack.policy.discovery.Clocks
import corneltrack.policy.discovery.StoreEra
import corneltrack.policy.streams.StreamOrigins
import corneltrack.router.relay.KeyedRecord
import corneltrack.router.relay.KeyedTopic
import corneltrack.router.relay.TopicResponse
import corneltrack.wire.event
import corneltrack.world.InstanceId
import corneltrack.world.PoolId
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** How long a caller that takes up a stream is kept waiting for the store, in ms. */
private const val READ_TIMEOUT_MS = 800L

private val logger = LogManager.getLogger("corneltrack.router.relay.streams.StreamRecords")

/**
 * Shares through the store which version began which stream, so that callers may take streams up at other routers and
 * after all routers have restarted. Each router has one record. Confined to the event loop.
 */
internal class StreamRecords(private val own: InstanceId, private val topic: KeyedTopic, private val clock: Clocks) {
    /** The content of this router's record, null for none, and the era in which the store confirmed it. */
    private class Written(val value: ByteArray?, val era: StoreEra)

    private val waiting = ArrayList<() -> Unit>()
    private val mixedUntilMs = HashMap<PoolId, Long>()
    private var reading = false
    private var writing = false
    private var written = Written(null, StoreEra.UNSTATED)

    /** The streams that routers have recorded, as last read. */
    val origins: StreamOrigins = StreamOrigins()

    /** The streams that an earlier process of this router has recorded; a new record must keep them. */
    private val inherited = StreamOrigins()

    /** Since when the last complete read ran, in ms of the monotonic clock; null before the first one. */
    private var readSinceMs: Long? = null

    /** Whether all records have been read once. */
    val loaded: Boolean get() = readSinceMs != null

    /** Whether all records have been read since [sinceMs], in ms of the monotonic clock, or at all if it is null. */
    fun covers(sinceMs: Long?): Boolean = readSinceMs.let { it != null && it >= (sinceMs ?: it) }

    /** Returns until when streams of several versions can be taken up in each pool, as last read. */
    fun mixedPools(): Map<PoolId, Long> = mixedUntilMs.filterValues { it > clock().wallClockMs }

    /** Forgets what has expired. */
    fun expire() {
        val nowMs = clock().wallClockMs
        origins.expire(nowMs)
        inherited.expire(nowMs)
        mixedUntilMs.values.removeIf { it <= nowMs }
    }

    /** Reads the records of all routers and calls back, also where that failed. Calls meanwhile share the read. */
    fun read(onDone: () -> Unit) {
        waiting += onDone
        if (reading) return
        reading = true
        readPage(null, clock().monotonicMs)
    }

    private fun readPage(after: String?, startedMs: Long) {
        topic.newest(after, READ_TIMEOUT_MS) { response ->
            val page = response as? TopicResponse.Newest
            page?.records?.forEach(::onRecord)
            val next = page?.next
            if (next != null) readPage(next, startedMs) else onRead(startedMs.takeIf { page != null })
        }
    }

    private fun onRead(completeSinceMs: Long?) {
        reading = false
        if (completeSinceMs != null) readSinceMs = completeSinceMs
        val callbacks = waiting.toList()
        waiting.clear()
        callbacks.forEach { it() }
    }

    private fun onRecord(record: KeyedRecord) {
        val value = record.value ?: return
        val inherits = !loaded && record.key == own.value
        if (inherits) written = Written(value, record.position.era)
        val table = StreamTable.decode(value)
        if (table == null) {
            logger.event("stream_record_unreadable", Level.WARN) { field("key", record.key) }
            return
        }
        table.mixedUntilMs.forEach { (pool, untilMs) -> mixedUntilMs.merge(PoolId(pool), untilMs, ::maxOf) }
        val nowMs = clock().wallClockMs
        table.origins.filter { it.second.expiresMs > nowMs }.forEach { (stream, origin) ->
            origins.record(stream, origin)
            if (inherits) inherited.record(stream, origin)
        }
    }

    /**
     * Writes the record of this router if it has changed, or the store may have lost it; removes it where no pool is
     * mixed. Does nothing before the record of an earlier process has been read, or while another write is in progress.
     *
     * @param era the newest known era of the store.
     */
    fun write(streams: StreamOrigins, mixedUntilMs: Map<PoolId, Long>, era: StoreEra) {
        if (!loaded || writing) return
        val value = if (mixedUntilMs.isEmpty()) null else table(streams, mixedUntilMs).encode()
        if (value contentEquals written.value && (value == null || era == written.era)) return
        writing = true
        topic.write(own.value, value) { confirmed ->
            writing = false
            if (confirmed) written = Written(value, era) else onNotWritten(value)
        }
    }

    /** The next write has what this one had. */
    private fun onNotWritten(value: ByteArray?) = logger.event("stream_record_not_written", Level.WARN) {
        field("bytes", value?.size)
    }

    private fun table(streams: StreamOrigins, mixedUntilMs: Map<PoolId, Long>) =
        StreamTable.of(inherited.all + streams.all, mixedUntilMs)
}
