package corneltrack.router

import corneltrack.wire.ControlClient
import corneltrack.wire.ControlRequest
import corneltrack.wire.ControlResult
import corneltrack.wire.wireJson
import corneltrack.world.Endpoint
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import java.util.concurrent.CompletableFuture

private const val LOAD_TIMEOUT_MS = 1_000L

/**
 * The load that an endpoint publishes at `GET /load`, with a delay.
 *
 * @property incarnation identifies the endpoint's process; it changes with each restart.
 * @property running the number of requests in flight.
 * @property cold whether the endpoint is in cold start.
 * @property uptimeMs the time since the process started, in ms.
 */
@Serializable
public data class EndpointLoad(
    val incarnation: String,
    val running: Int,
    val cold: Boolean = false,
    val uptimeMs: Long = Long.MAX_VALUE,
)

/** The result of fetching the load of an endpoint. */
internal sealed interface LoadResult {
    data class Known(val load: EndpointLoad) : LoadResult

    /** No connection to the endpoint could be opened. */
    data object Down : LoadResult

    /** The endpoint did not send a valid response. */
    data object Unknown : LoadResult
}

/** Fetches the load of endpoints. */
internal class EndpointLoadClient(private val client: ControlClient) {
    fun fetch(endpoint: Endpoint): CompletableFuture<LoadResult> =
        client.send(endpoint.address, ControlRequest(HttpMethod.GET, "/load"), LOAD_TIMEOUT_MS).thenApply(::loadResult)

    private fun loadResult(result: ControlResult): LoadResult = when (result) {
        is ControlResult.NotSent -> LoadResult.Down
        is ControlResult.NoResponse -> LoadResult.Unknown
        is ControlResult.Responded -> if (result.ok) decode(result.body) else LoadResult.Unknown
    }

    private fun decode(body: String): LoadResult =
        try {
            LoadResult.Known(wireJson.decodeFromString<EndpointLoad>(body))
        } catch (_: SerializationException) {
            LoadResult.Unknown
        }
}
