package corneltrack.router

import corneltrack.policy.ExchangeRequest
import corneltrack.policy.Suspicion
import corneltrack.wire.Content
import corneltrack.wire.ControlRequest
import corneltrack.wire.ControlResponse
import corneltrack.wire.RouterStatus
import corneltrack.wire.errorResponse
import corneltrack.wire.jsonResponse
import corneltrack.wire.wireJson
import corneltrack.wire.wireProtobuf
import corneltrack.world.InstanceId
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor

private const val MAXIMUM_WAIT_MS = 10_000L
private const val METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

/** The paths that can be requested without the secret. */
internal val UNAUTHENTICATED_PATHS: Set<String> = setOf("/live", "/ready")

/** The state and the operations of a router that its [ControlApi] exposes. */
internal interface ControlApiDelegate {
    /** Whether the router can accept requests of callers. */
    val ready: Boolean

    fun status(): RouterStatus

    /** Returns the metrics in the Prometheus text format. */
    fun metrics(): String

    /** Records that [peer] has applied the configuration stream up to [offset]. */
    fun onPeerOffset(peer: InstanceId, offset: Long)

    /** Counts the traffic of an exchange that [peer] started, by the sizes of the bodies in bytes. */
    fun onPeerTraffic(peer: InstanceId, sent: Int, received: Int)
}

/**
 * Handles the HTTP requests of peers, operators and health checks.
 *
 * @param control the control thread, to which the use of allocators is confined.
 */
internal class ControlApi(
    private val delegate: ControlApiDelegate,
    private val allocators: HostedAllocators,
    private val views: RouterViews,
    private val claimOutcomes: ClaimOutcomes,
    private val crashDetector: CrashDetector,
    private val control: Executor,
) {
    /** Returns the response to [request]. A body that cannot be decoded is a bad request. */
    fun handle(request: ControlRequest): CompletableFuture<ControlResponse> =
        try {
            if (request.method == HttpMethod.POST) post(request) else get(request)
        } catch (fault: SerializationException) {
            errorResponse(HttpResponseStatus.BAD_REQUEST, fault.message.orEmpty().lineSequence().first())
        }

    private fun get(request: ControlRequest): CompletableFuture<ControlResponse> {
        val path = request.path.substringBefore('?')
        return when {
            path == "/live" -> jsonResponse(true)
            path == "/ready" -> ready()
            path == "/metrics" -> runOnControl {
                ControlResponse(HttpResponseStatus.OK, delegate.metrics(), METRICS_CONTENT_TYPE)
            }
            path == "/status" -> runOnControl { jsonResponse(delegate.status()).join() }
            path == CONFIGURATION_PATH -> jsonResponse(views.current.configuration)
            path.startsWith(CLAIM_PATH) -> claim(request)
            else -> notFound(path)
        }
    }

    private fun post(request: ControlRequest): CompletableFuture<ControlResponse> = when (request.path) {
        EXCHANGE_PATH -> {
            val exchangeRequest = wireProtobuf.decodeFromByteArray<ExchangeRequest>(request.content.bytes)
            runOnControl {
                val response = Content(wireProtobuf.encodeToByteArray(allocators.exchange(exchangeRequest)))
                delegate.onPeerOffset(exchangeRequest.from, exchangeRequest.configurationOffset)
                delegate.onPeerTraffic(exchangeRequest.from, response.size, request.content.size)
                ControlResponse(HttpResponseStatus.OK, response)
            }
        }
        SUSPICION_PATH -> {
            crashDetector.onSuspicion(wireJson.decodeFromString<Suspicion>(request.body))
            jsonResponse(true)
        }
        else -> notFound(request.path)
    }

    private fun ready(): CompletableFuture<ControlResponse> =
        if (delegate.ready) jsonResponse(true) else errorResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready")

    private fun claim(request: ControlRequest): CompletableFuture<ControlResponse> {
        val query = QueryStringDecoder(request.path)
        val waitMs = query.parameters()["waitMs"]?.firstOrNull()?.toLongOrNull() ?: 0
        return claimOutcomes.outcome(query.path().removePrefix(CLAIM_PATH), waitMs.coerceIn(0, MAXIMUM_WAIT_MS))
            .thenCompose { jsonResponse(it) }
    }

    private fun notFound(path: String): CompletableFuture<ControlResponse> =
        errorResponse(HttpResponseStatus.NOT_FOUND, "no such path: $path")

    private fun runOnControl(respond: () -> ControlResponse): CompletableFuture<ControlResponse> =
        CompletableFuture.supplyAsync({ respond() }, control)
}
