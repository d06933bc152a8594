package corneltrack.wire

import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import java.util.concurrent.CompletableFuture

/** The name of the configuration stream. */
public const val CONFIGURATION_STREAM: String = "configuration"

private const val APPEND_TIMEOUT_MS = 2_000L
private const val READ_TIMEOUT_MARGIN_MS = 2_000L
private const val MAXIMUM_RECORDS_PER_READ = 1_000

/** A record of a stream in the platform's log. */
@Serializable
public data class LogRecord(val offset: Long, val data: String)

/**
 * The response to a read of a stream.
 *
 * @property oldest the lowest offset that the stream still retains.
 * @property next the offset after the last record of the stream.
 */
@Serializable
public data class LogPage(val oldest: Long, val next: Long, val records: List<LogRecord> = emptyList())

/** The body of a request that appends one record. */
@Serializable
public data class AppendRequest(val data: String)

/** The response to an append, with the offset of the new record. */
@Serializable
public data class AppendResponse(val offset: Long)

/** The result of an append. */
public sealed interface AppendResult {
    /** The record is in the stream at [offset]. */
    public data class Appended(val offset: Long) : AppendResult

    /** The record is not in the stream. */
    public data class Refused(val reason: String) : AppendResult

    /** The record may or may not be in the stream; the caller can find out by reading it back. */
    public data class Unknown(val reason: String) : AppendResult
}

/** The result of a read. */
public sealed interface ReadResult {
    /** The log returned a page of records. */
    public data class Page(val page: LogPage) : ReadResult

    /** There was no valid response. */
    public data class Unavailable(val reason: String) : ReadResult
}

/** Reads streams of the platform's log service at [address] (host and port) and appends to them. */
public class LogClient(private val client: ControlClient, private val address: String) {
    /** Appends one record to [stream]. */
    public fun append(
        stream: String,
        data: String,
        timeoutMs: Long = APPEND_TIMEOUT_MS,
    ): CompletableFuture<AppendResult> {
        val body = wireJson.encodeToString(AppendRequest(data))
        val request = ControlRequest(HttpMethod.POST, "/streams/$stream/records", body)
        return client.send(address, request, timeoutMs).thenApply(::appendResult)
    }

    /**
     * Reads records of [stream], starting at offset [from].
     *
     * @param waitMs the time that the log may wait for a first record, in ms; 0 to return at once.
     * @param limit the maximum number of records.
     */
    public fun read(
        stream: String,
        from: Long,
        waitMs: Long = 0,
        limit: Int = MAXIMUM_RECORDS_PER_READ,
    ): CompletableFuture<ReadResult> {
        val path = "/streams/$stream/records?from=$from&limit=$limit&waitMs=$waitMs"
        return client.send(address, ControlRequest(HttpMethod.GET, path), waitMs + READ_TIMEOUT_MARGIN_MS)
            .thenApply(::readResult)
    }
}

private fun appendResult(result: ControlResult): AppendResult = when (result) {
    is ControlResult.NotSent -> AppendResult.Refused(result.reason)
    is ControlResult.NoResponse -> AppendResult.Unknown(result.reason)
    is ControlResult.Responded ->
        if (result.ok) {
            decode<AppendResponse, AppendResult>(result.body, { AppendResult.Appended(it.offset) }) {
                AppendResult.Unknown(it)
            }
        } else {
            AppendResult.Refused("status ${result.status}: ${result.body}")
        }
}

private fun readResult(result: ControlResult): ReadResult = when (result) {
    is ControlResult.NotSent -> ReadResult.Unavailable(result.reason)
    is ControlResult.NoResponse -> ReadResult.Unavailable(result.reason)
    is ControlResult.Responded ->
        if (result.ok) {
            decode<LogPage, ReadResult>(result.body, { ReadResult.Page(it) }) { ReadResult.Unavailable(it) }
        } else {
            ReadResult.Unavailable("status ${result.status}")
        }
}

private inline fun <reified T, R> decode(body: String, onValue: (T) -> R, onFault: (String) -> R): R =
    try {
        onValue(wireJson.decodeFromString<T>(body))
    } catch (fault: SerializationException) {
        onFault("invalid response: ${fault.message}")
    }
