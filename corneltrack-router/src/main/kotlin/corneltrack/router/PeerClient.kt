package corneltrack.router

import corneltrack.policy.ExchangeRequest
import corneltrack.policy.ExchangeResponse
import corneltrack.wire.Content
import corneltrack.wire.ControlClient
import corneltrack.wire.ControlRequest
import corneltrack.wire.ControlResult
import corneltrack.wire.wireJson
import corneltrack.wire.wireProtobuf
import corneltrack.world.Configuration
import corneltrack.world.Instance
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.util.concurrent.CompletableFuture

private const val PEER_TIMEOUT_MS = 1_000L

/** Sends control requests to other routers and decodes their responses. */
internal class PeerClient(private val client: ControlClient, private val secret: String) {
    /** Sends reports and returns the grants, or null if there was no valid response. */
    fun exchange(peer: Instance, request: ExchangeRequest): CompletableFuture<ExchangeResponse?> =
        post(peer, EXCHANGE_PATH, Content(wireProtobuf.encodeToByteArray(request)))
            .thenApply { result -> decode(result) { wireProtobuf.decodeFromByteArray<ExchangeResponse>(it.bytes) } }

    /** Fetches the configuration of a peer. Returns null if there was no valid response. */
    fun configuration(peer: Instance): CompletableFuture<Configuration?> =
        get(peer, CONFIGURATION_PATH, PEER_TIMEOUT_MS).thenApply { decodeJson<Configuration>(it) }

    /**
     * Fetches the outcome of a claim from its owner, which waits up to [waitMs] for a running request to end.
     *
     * @return null if there was no valid response.
     */
    fun claimOutcome(peer: Instance, claimId: String, waitMs: Long): CompletableFuture<ClaimOutcome?> =
        get(peer, "$CLAIM_PATH$claimId?waitMs=$waitMs", waitMs + PEER_TIMEOUT_MS)
            .thenApply { decodeJson<ClaimOutcome>(it) }

    private fun post(peer: Instance, path: String, content: Content): CompletableFuture<ControlResult> =
        client.send(peer.address, ControlRequest(HttpMethod.POST, path, content, secret), PEER_TIMEOUT_MS)

    private fun get(peer: Instance, path: String, timeoutMs: Long): CompletableFuture<ControlResult> =
        client.send(peer.address, ControlRequest(HttpMethod.GET, path, secret = secret), timeoutMs)

    private inline fun <reified T> decodeJson(result: ControlResult): T? =
        decode(result) { wireJson.decodeFromString<T>(it.text) }

    private inline fun <T> decode(result: ControlResult, read: (Content) -> T): T? =
        try {
            (result as? ControlResult.Responded)?.takeIf { it.ok }?.let { read(it.content) }
        } catch (_: SerializationException) {
            null
        }
}

internal const val EXCHANGE_PATH: String = "/peer/exchange"
internal const val CONFIGURATION_PATH: String = "/peer/configuration"
internal const val CLAIM_PATH: String = "/peer/claims/"
