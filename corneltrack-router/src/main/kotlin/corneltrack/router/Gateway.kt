package corneltrack.router

import corneltrack.router.callers.CallerRequest
import corneltrack.router.callers.CallerResponse
import corneltrack.router.callers.DEFAULT_RETRY_AFTER_MS
import corneltrack.router.callers.Refusal
import corneltrack.router.callers.ResponseSink
import corneltrack.world.Pool
import corneltrack.world.PoolKind
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

private val modelJson = Json { encodeDefaults = true }

@Serializable
internal data class ModelList(val data: List<ModelEntry>, val `object`: String = "list")

@Serializable
internal data class ModelEntry(
    val id: String,
    val `object`: String = "model",
    @SerialName("owned_by") val ownedBy: String = "corneltrack",
)

/** Receives the complete requests of callers and passes them to the runner, or responds to them immediately. */
internal class Gateway(
    private val views: RouterViews,
    private val settings: RouterSettings,
    private val runner: RequestRunner,
    private val idempotentRequests: IdempotentRequests,
    private val clock: Clock,
) {
    private val draining = AtomicBoolean()
    private val bufferedBytes = AtomicLong()

    /** Refuses all requests from now on. */
    fun drain() {
        draining.set(true)
    }

    /** Handles [request] and returns the function that cancels it. */
    fun handle(request: CallerRequest, loop: EventLoop, sink: ResponseSink): () -> Unit {
        if (draining.get()) {
            sink.refuse(SHUTTING_DOWN)
            return {}
        }
        return when (val admission = admit(request, views.current)) {
            is Admission.Refused -> sink.refuse(admission.refusal).let { {} }
            is Admission.Models -> sendModels(admission.models, sink).let { {} }
            is Admission.Accepted -> accept(request, admission, loop, sink)
        }
    }

    private fun accept(
        request: CallerRequest,
        admission: Admission.Accepted,
        loop: EventLoop,
        sink: ResponseSink,
    ): () -> Unit {
        val size = request.body.size.toLong()
        if (bufferedBytes.addAndGet(size) > settings.limits.queuedBytes) {
            bufferedBytes.addAndGet(-size)
            sink.refuse(TOO_MANY_BYTES)
            return {}
        }
        val releasingSink = ReleasingSink(sink) { bufferedBytes.addAndGet(-size) }
        val routed = newRoutedRequest(request, admission, loop, releasingSink)
        if (admission.idempotencyKey == null) {
            runner.submit(routed)
        } else {
            idempotentRequests.submit(routed, admission.idempotencyKey)
        }
        (sink as? CallerResponse)?.onWritable = { routed.attempt?.onWritable(it) }
        return {
            releasingSink.release()
            if (admission.idempotencyKey == null) runner.cancel(routed) else routed.onCallerDisconnected()
        }
    }

    private fun newRoutedRequest(
        request: CallerRequest,
        admission: Admission.Accepted,
        loop: EventLoop,
        sink: ResponseSink,
    ): RoutedRequest {
        val head = request.head
        val nowMs = clock()
        val requestLine = "${admission.workspace} ${head.method()} ${head.uri()}"
        val fingerprint = digest(requestLine, request.body)
        val idempotent = admission.idempotencyKey == null && admission.pool.isIdempotent(head.method().name())
        return RoutedRequest(
            RequestIdentity(admission.id, admission.workspace, admission.pool, fingerprint),
            RequestTimes(nowMs, nowMs + admission.deadlineMs),
            idempotent,
            OutgoingMessage(
                head.method(),
                head.uri(),
                request.keep(head.headers().forEndpoint(admission.id)),
                request.body,
            ),
            loop,
            sink,
        )
    }

    private fun sendModels(models: List<Pool>, sink: ResponseSink) {
        val entries = models.map { ModelEntry(it.id.value) }.sortedBy { it.id }
        (sink as? CallerResponse)?.sendJson(modelJson.encodeToString(ModelList(entries)))
    }
}

private fun Pool.isIdempotent(method: String): Boolean = kind == PoolKind.MODEL || method in repeatableMethods

/** Runs [onRelease] once, when the response ends in any way or [release] is called. */
private class ReleasingSink(private val sink: ResponseSink, private val onRelease: () -> Unit) : ResponseSink by sink {
    private val released = AtomicBoolean()

    fun release() {
        if (released.compareAndSet(false, true)) {
            onRelease()
        }
    }

    override fun end() {
        release()
        sink.end()
    }

    override fun refuse(refusal: Refusal) {
        release()
        sink.refuse(refusal)
    }

    override fun abort(reason: String) {
        release()
        sink.abort(reason)
    }
}

private val SHUTTING_DOWN = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "leaving",
    "This router is shutting down.",
    retryAfterMs = DEFAULT_RETRY_AFTER_MS,
)
private val TOO_MANY_BYTES = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "too_many_bytes",
    "Too many bytes of requests are waiting.",
    retryAfterMs = DEFAULT_RETRY_AFTER_MS,
)
