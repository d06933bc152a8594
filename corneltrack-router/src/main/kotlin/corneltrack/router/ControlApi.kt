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

/** The paths that need no secret. */
internal val UNAUTHENTICATED_PATHS: Set<String> = setOf("/live", "/ready")

/** What the control surface of a router answers from. */
internal interface ControlApiDelegate {
    val ready: Boolean

    fun status(): RouterStatus

    fun metrics(): String

    /** Takes in how far [peer] has applied the configuration stream. */
    fun onPeerOffset(peer: InstanceId, offset: Long)

    /** Counts the bodies of an exchange that [peer] began. */
    fun onPeerTraffic(peer: InstanceId, sent: Int, received: Int)
}

/** Answers peers and operators. Whatever touches allocators runs on [control]. */
internal class ControlApi(
    private val delegate: ControlApiDelegate,
    private val allocators: HostedAllocators,
    private val views: RouterViews,
    private val claims: ClaimOutcomes,
    private val crashes: CrashDetector,
    private val control: Executor,
) {
    /** Answers one request. */
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
            val report = wireProtobuf.decodeFromByteArray<ExchangeRequest>(request.content.bytes)
            runOnControl {
                val response = Content(wireProtobuf.encodeToByteArray(allocators.exchange(report)))
                delegate.onPeerOffset(report.from, report.configurationOffset)
                delegate.onPeerTraffic(report.from, response.size, request.content.size)
                ControlResponse(HttpResponseStatus.OK, response)
            }
        }
        SUSPICION_PATH -> {
            crashes.onSuspicion(wireJson.decodeFromString<Suspicion>(request.body))
            jsonResponse(true)
        }
        else -> notFound(request.path)
    }

    private fun ready(): CompletableFuture<ControlResponse> =
        if (delegate.ready) jsonResponse(true) else errorResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready")

    private fun claim(request: ControlRequest): CompletableFuture<ControlResponse> {
        val query = QueryStringDecoder(request.path)
        val waitMs = query.parameters()["waitMs"]?.firstOrNull()?.toLongOrNull() ?: 0
        return claims.outcome(query.path().removePrefix(CLAIM_PATH), waitMs.coerceIn(0, MAXIMUM_WAIT_MS))
            .thenCompose { jsonResponse(it) }
    }

    private fun notFound(path: String): CompletableFuture<ControlResponse> =
        errorResponse(HttpResponseStatus.NOT_FOUND, "no such path: $path")

    private fun runOnControl(respond: () -> ControlResponse): CompletableFuture<ControlResponse> =
        CompletableFuture.supplyAsync({ respond() }, control)
}
