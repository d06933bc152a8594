package corneltrack.wire

import corneltrack.world.FleetList
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.SerializationException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference

/**
 * Reads the platform's lagging list of live and leaving members at [address] (host and port).
 *
 * Where the platform versions the list by an entity tag, one that has not changed is not sent again.
 */
public class FleetListClient(
    private val client: ControlClient,
    private val address: String,
    private val requester: String,
) {
    private class Known(val entityTag: String, val list: FleetList)

    private val known = AtomicReference<Known>()

    /** Returns the list, or null where the platform did not answer. */
    public fun read(): CompletableFuture<FleetList?> {
        val before = known.get()
        val path = "/instances?requester=$requester"
        val request = ControlRequest(HttpMethod.GET, path, ifNoneMatch = before?.entityTag)
        return client.send(address, request).thenApply { result ->
            when {
                result !is ControlResult.Responded -> null
                result.status == HttpResponseStatus.NOT_MODIFIED.code() -> before?.list
                result.ok -> decode(result)
                else -> null
            }
        }
    }

    private fun decode(answer: ControlResult.Responded): FleetList? =
        try {
            val list = wireJson.decodeFromString<FleetList>(answer.body)
            answer.entityTag?.let { known.set(Known(it, list)) }
            list
        } catch (_: SerializationException) {
            null
        }
}
