package corneltrack.router

import corneltrack.policy.ExchangeRequest
import corneltrack.policy.ExchangeResponse
import corneltrack.wire.ControlClient
import corneltrack.wire.ControlRequest
import corneltrack.wire.ControlResult
import corneltrack.wire.wireJson
import corneltrack.world.Configuration
import corneltrack.world.Instance
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import java.util.concurrent.CompletableFuture

private const val PEER_TIMEOUT_MS = 1_000L

/** Sends typed messages to other routers. */
internal class PeerClient(private val client: ControlClient, private val secret: String) {
    /** Sends a report and returns the grants, or null where no sensible answer came. */
    fun exchange(peer: Instance, request: ExchangeRequest): CompletableFuture<ExchangeResponse?> =
        post(peer, EXCHANGE_PATH, wireJson.encodeToString(request)).thenApply { decode<ExchangeResponse>(it) }

    /** Fetches a peer's configuration, or null where no sensible answer came. */
    fun configuration(peer: Instance): CompletableFuture<Configuration?> =
        get(peer, CONFIGURATION_PATH, PEER_TIMEOUT_MS).thenApply { decode<Configuration>(it) }

    /** Asks the owner of a claim what became of it, waiting up to [waitMs] for a running request to end. */
    fun claimOutcome(peer: Instance, claimId: String, waitMs: Long): CompletableFuture<ClaimOutcome?> =
        get(peer, "$CLAIM_PATH$claimId?waitMs=$waitMs", waitMs + PEER_TIMEOUT_MS)
            .thenApply { decode<ClaimOutcome>(it) }

    private fun post(peer: Instance, path: String, body: String): CompletableFuture<ControlResult> =
        client.send(peer.address, ControlRequest(HttpMethod.POST, path, body, secret), PEER_TIMEOUT_MS)

    private fun get(peer: Instance, path: String, timeoutMs: Long): CompletableFuture<ControlResult> =
        client.send(peer.address, ControlRequest(HttpMethod.GET, path, secret = secret), timeoutMs)

    private inline fun <reified T> decode(result: ControlResult): T? =
        try {
            (result as? ControlResult.Answered)?.takeIf { it.ok }?.let { wireJson.decodeFromString<T>(it.body) }
        } catch (_: SerializationException) {
            null
        }
}

internal const val EXCHANGE_PATH: String = "/peer/exchange"
internal const val CONFIGURATION_PATH: String = "/peer/configuration"
internal const val CLAIM_PATH: String = "/peer/claims/"
