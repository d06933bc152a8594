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
    private class CachedList(val entityTag: String, val list: FleetList)

    private val cached = AtomicReference<CachedList>()

    /** Returns the list, or null where the platform did not answer. */
    public fun read(): CompletableFuture<FleetList?> {
        val previous = cached.get()
        val path = "/instances?requester=$requester"
        val request = ControlRequest(HttpMethod.GET, path, ifNoneMatch = previous?.entityTag)
        return client.send(address, request).thenApply { result ->
            when {
                result !is ControlResult.Responded -> null
                result.status == HttpResponseStatus.NOT_MODIFIED.code() -> previous?.list
                result.ok -> decode(result)
                else -> null
            }
        }
    }

    private fun decode(response: ControlResult.Responded): FleetList? =
        try {
            val list = wireJson.decodeFromString<FleetList>(response.body)
            response.entityTag?.let { cached.set(CachedList(it, list)) }
            list
        } catch (_: SerializationException) {
            null
        }
}
