package corneltrack.wire

import corneltrack.world.FleetList
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.SerializationException
import java.util.concurrent.CompletableFuture

/** Reads the platform's lagging list of live and leaving members at [address] (host and port). */
public class FleetListClient(
    private val client: ControlClient,
    private val address: String,
    private val requester: String,
) {
    /** Returns the list, or null where the platform did not answer. */
    public fun read(): CompletableFuture<FleetList?> =
        client.send(address, ControlRequest(HttpMethod.GET, "/instances?requester=$requester")).thenApply { result ->
            if (result is ControlResult.Answered && result.ok) decode(result.body) else null
        }

    private fun decode(body: String): FleetList? =
        try {
            wireJson.decodeFromString<FleetList>(body)
        } catch (_: SerializationException) {
            null
        }
}
