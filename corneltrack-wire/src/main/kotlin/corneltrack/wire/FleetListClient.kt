package corneltrack.wire

import corneltrack.world.FleetList
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.SerializationException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference

/**
 * Reads the platform's list of instances and endpoints at [address] (host and port). The list may be stale.
 *
 * If the platform sends the list with an entity tag, an unchanged list is not transferred again.
 *
 * @param requester the name of this process in its requests.
 */
public class FleetListClient(
    private val client: ControlClient,
    private val address: String,
    private val requester: String,
) {
    private class CachedList(val entityTag: String, val list: FleetList)

    private val cached = AtomicReference<CachedList>()

    /** Returns the list, or null if there was no valid response. */
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
