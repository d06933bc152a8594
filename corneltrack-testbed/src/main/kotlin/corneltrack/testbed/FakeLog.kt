package corneltrack.testbed

import corneltrack.wire.AppendRequest
import corneltrack.wire.AppendResponse
import corneltrack.wire.ControlRequest
import corneltrack.wire.ControlResponse
import corneltrack.wire.ControlServer
import corneltrack.wire.HostAndPort
import corneltrack.wire.LogPage
import corneltrack.wire.LogRecord
import corneltrack.wire.errorResponse
import corneltrack.wire.jsonResponse
import corneltrack.wire.wireJson
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val DEFAULT_APPENDS_PER_SECOND = 400
private const val DEFAULT_RETAINED_RECORDS = 100_000
private const val NANOS_PER_SECOND = 1_000_000_000L
private const val DEFAULT_PAGE_SIZE = 1_000

/**
 * Fakes the platform's append-only log with offsets, long polling, retention, a rate limit and injectable faults.
 *
 * @param appendsPerSecond the maximum number of appends within a second; further ones are refused with status 429.
 */
public class FakeLog(
    private val group: EventLoopGroup,
    private val appendsPerSecond: Int = DEFAULT_APPENDS_PER_SECOND,
) : AutoCloseable {
    private class Stream {
        var nextOffset = 0L
        val records = ArrayDeque<LogRecord>()
        val pendingReads = mutableListOf<() -> Unit>()
    }

    private val streams = HashMap<String, Stream>()
    private val server = ControlServer(group, secret = null, handler = ::handle)
    private var windowStartNanos = 0L
    private var appendsInWindow = 0

    /** Whether every request is refused with status 503. */
    @Volatile
    public var down: Boolean = false

    /** The maximum number of records that a stream retains; older ones are dropped. */
    @Volatile
    public var retainedRecords: Int = DEFAULT_RETAINED_RECORDS

    /** The number of upcoming appends that take effect but get no response. */
    public val responsesToDrop: AtomicInteger = AtomicInteger()

    /** The address of the log, as `host:port`. */
    public val address: String get() = "127.0.0.1:${server.port}"

    /** Starts listening on [port]; 0 picks a free one. */
    public fun start(port: Int = 0): FakeLog = apply { server.start(HostAndPort("127.0.0.1", port)) }

    /** Returns the records that [stream] retains, oldest first. */
    @Synchronized
    public fun records(stream: String): List<LogRecord> = streams[stream]?.records.orEmpty().toList()

    override fun close(): Unit = server.close()

    private fun handle(request: ControlRequest): CompletableFuture<ControlResponse> {
        val query = QueryStringDecoder(request.path)
        val name = query.path().removePrefix("/streams/").removeSuffix("/records")
        return when {
            down -> errorResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "the log is down")
            request.method == HttpMethod.POST -> append(name, wireJson.decodeFromString<AppendRequest>(request.body))
            else -> read(name, query)
        }
    }

    @Synchronized
    private fun append(name: String, request: AppendRequest): CompletableFuture<ControlResponse> {
        if (!isWithinRate(System.nanoTime())) {
            return errorResponse(HttpResponseStatus.TOO_MANY_REQUESTS, "more than $appendsPerSecond appends a second")
        }
        val stream = streams.getOrPut(name) { Stream() }
        val record = LogRecord(stream.nextOffset++, request.data)
        stream.records.addLast(record)
        while (stream.records.size > retainedRecords) {
            stream.records.removeFirst()
        }
        stream.pendingReads.toList().also { stream.pendingReads.clear() }.forEach { it() }
        val dropped = responsesToDrop.getAndUpdate { maxOf(0, it - 1) } > 0
        return if (dropped) CompletableFuture() else jsonResponse(AppendResponse(record.offset))
    }

    private fun read(name: String, query: QueryStringDecoder): CompletableFuture<ControlResponse> {
        val from = query.longParameter("from", 0)
        val limit = query.longParameter("limit", DEFAULT_PAGE_SIZE.toLong()).toInt()
        val waitMs = query.longParameter("waitMs", 0)
        val response = CompletableFuture<ControlResponse>()
        val complete = { page(name, from, limit).thenAccept { response.complete(it) } }
        val pending = synchronized(this) {
            val stream = streams.getOrPut(name) { Stream() }
            val empty = waitMs > 0 && from >= stream.nextOffset
            if (empty) stream.pendingReads += { complete() }
            empty
        }
        if (pending) group.schedule({ complete() }, waitMs, TimeUnit.MILLISECONDS) else complete()
        return response
    }

    @Synchronized
    private fun page(name: String, from: Long, limit: Int): CompletableFuture<ControlResponse> {
        val stream = streams.getOrPut(name) { Stream() }
        val oldest = stream.records.firstOrNull()?.offset ?: stream.nextOffset
        val records = stream.records.filter { it.offset >= from }.take(limit)
        return jsonResponse(LogPage(oldest, stream.nextOffset, records))
    }

    private fun isWithinRate(nowNanos: Long): Boolean {
        if (nowNanos - windowStartNanos > NANOS_PER_SECOND) {
            windowStartNanos = nowNanos
            appendsInWindow = 0
        }
        return ++appendsInWindow <= appendsPerSecond
    }
}

private fun QueryStringDecoder.longParameter(name: String, default: Long): Long =
    parameters()[name]?.firstOrNull()?.toLongOrNull() ?: default
