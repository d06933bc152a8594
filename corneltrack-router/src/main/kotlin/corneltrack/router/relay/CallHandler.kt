package corneltrack.router.relay

import corneltrack.policy.limits.EventLoopLag
import corneltrack.policy.placement.FairShareTracker
import corneltrack.policy.placement.LoadShedding
import corneltrack.policy.placement.SheddingDecision
import corneltrack.policy.placement.overloadRetryMs
import corneltrack.router.callers.CallerRequest
import corneltrack.router.callers.CallerResponse
import corneltrack.router.callers.Refusal
import corneltrack.router.callers.ResponseSink
import corneltrack.world.RegionId
import corneltrack.world.WorkspaceId
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.concurrent.ThreadLocalRandom

private const val SHUTDOWN_RETRY_MS = 50L

/** The difference between two Retry-After values of an overload, in ms; few enough to keep their responses. */
private const val OVERLOADED_RETRY_STEP_MS = 100L

/** Within the objectives of most routes, so that a retry can still be served in time. */
private const val ABOVE_SHARE_RETRY_MS = 300L
private const val QUARANTINE_RETRY_MS = 10_000L

/** Logged for requests without an id. */
private const val NO_REQUEST_ID = "-"

/** Matches no data centre; stands for an empty set of allowed regions, since an empty set allows all. */
private val NO_REGION = RegionId("")

/** Admits or refuses the requests of callers and runs the admitted ones. Confined to the event loop. */
internal class CallHandler(
    private val routingState: RoutingState,
    private val context: RelayContext,
    private val shares: FairShareTracker,
    private val eventLoopLag: EventLoopLag,
    private val loadReport: LoadReport,
    private val refusals: RefusalRecorder,
) {
    private val longestTimeLeftMs = HashMap<String, Long>()
    private val shedding = LoadShedding(eventLoopLag, shares)

    /** The refusals of an overloaded router, by their Retry-After in steps of [OVERLOADED_RETRY_STEP_MS]. */
    private val overloadRefusals = HashMap<Long, Refusal>()

    /** Whether new requests are refused because the process is about to end. Set by the thread that drains. */
    @Volatile
    var closed: Boolean = false

    /** Handles one request and returns the callback to invoke when its caller disconnects. */
    fun handle(request: CallerRequest, sink: ResponseSink): () -> Unit {
        val metadata = context.headerMapping.readRequest(request.head)
        return when (val admission = admit(metadata)) {
            is CallAdmission.Refused -> refuse(metadata, admission.refusal, sink)
            is CallAdmission.Accepted -> accept(request, metadata, admission, sink)
        }
    }

    private fun admit(metadata: CallerMetadata): CallAdmission {
        if (closed) return CallAdmission.Refused(SHUTTING_DOWN)
        val nowMs = context.nowMs()
        val workspace = keyHolder(metadata)
        return when (shedding.decide(workspace, metadata.cost, nowMs)) {
            SheddingDecision.OVERLOADED -> CallAdmission.Refused(overloaded(workspace, nowMs))
            SheddingDecision.ABOVE_FAIR_SHARE -> CallAdmission.Refused(ABOVE_FAIR_SHARE)
            SheddingDecision.ADMIT -> {
                val random = ThreadLocalRandom.current().nextDouble()
                val view = routingState.tableView
                admitCall(metadata, view, routingState.keysStale(view?.ageMs), random)
            }
        }
    }

    private fun overloaded(workspace: WorkspaceId?, nowMs: Long): Refusal {
        val refusedForMs = workspace?.let { shares.view(nowMs).refusedSpans.spanMs(it, nowMs) } ?: 0
        val retryMs = overloadRetryMs(refusedForMs, ThreadLocalRandom.current().nextDouble())
        return overloadRefusals.getOrPut(retryMs / OVERLOADED_RETRY_STEP_MS) {
            OVERLOADED.copy(retryAfterMs = retryMs - retryMs % OVERLOADED_RETRY_STEP_MS)
        }
    }

    private fun keyHolder(metadata: CallerMetadata): WorkspaceId? =
        metadata.apiKey?.let { routingState.table?.workspaceForKey(it) }?.id

    private fun refuse(metadata: CallerMetadata, refusal: Refusal, sink: ResponseSink): () -> Unit {
        refusals.record(metadata, keyHolder(metadata), refusal)
        sink.refuse(refusal)
        return {}
    }

    private fun accept(
        request: CallerRequest,
        metadata: CallerMetadata,
        admission: CallAdmission.Accepted,
        sink: ResponseSink,
    ): () -> Unit {
        val call = relayedCall(request, metadata, admission, sink)
        val quarantined = context.suspects.isQuarantined(call) || context.partSuspects.isRefused(call)
        if (quarantined) return refuse(metadata, QUARANTINED, sink)
        context.onRequest(call.pool.id)
        val runner = CallRunner(call, context)
        (sink as? CallerResponse)?.onWritable = runner::onWritable
        runner.start()
        if (call.placed) loadReport.onPlaced()
        recordAttempt(call)
        return runner::onCallerDisconnected
    }

    private fun recordAttempt(call: RelayedCall) {
        val workspace = call.workspace ?: return
        val generation = call.generation ?: return
        shares.onAttempted(workspace, generation.cost, call.placed, context.nowMs())
    }

    private fun relayedCall(
        request: CallerRequest,
        metadata: CallerMetadata,
        admission: CallAdmission.Accepted,
        sink: ResponseSink,
    ): RelayedCall {
        return RelayedCall(
            id = metadata.requestId ?: NO_REQUEST_ID,
            requestId = metadata.requestId,
            workspace = admission.workspaceId,
            route = admission.route,
            pool = admission.pool,
            regions = allowedRegions(admission),
            generation = callWork(metadata),
            times = callTimes(metadata, admission),
            message = CallerMessage(request),
            sink = sink,
            priority = admission.workspace?.priority ?: admission.route.priority,
            takesUp = metadata.takesUp.takeIf { admission.route.resumable },
        )
    }

    private fun callTimes(metadata: CallerMetadata, admission: CallAdmission.Accepted): CallTimes {
        val timeoutMs = admission.route.timeoutMs
        val longestMs = longestTimeLeftMs.merge(admission.route.name, metadata.timeLeftMs ?: timeoutMs, ::maxOf)
        return callTimes(metadata, timeoutMs, longestMs ?: timeoutMs, context.nowMs())
    }

    private fun allowedRegions(admission: CallAdmission.Accepted): Set<RegionId> {
        val route = admission.route.regions
        val workspace = admission.workspace?.regions.orEmpty()
        return when {
            route.isEmpty() -> workspace
            workspace.isEmpty() -> route
            else -> (route intersect workspace).ifEmpty { setOf(NO_REGION) }
        }
    }
}

private val SHUTTING_DOWN = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "leaving",
    "This router is shutting down.",
    retryAfterMs = SHUTDOWN_RETRY_MS,
)
private val OVERLOADED = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "router_overloaded",
    "This router cannot keep up with its callers.",
)
private val ABOVE_FAIR_SHARE = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "above_fair_share",
    "The workspace asks for several times its fair share of the engines, which are busy.",
    retryAfterMs = ABOVE_SHARE_RETRY_MS,
)
private val QUARANTINED = Refusal(
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    "quarantined",
    "Endpoints broke off while they ran this request or others with a part of its prompt.",
    retryAfterMs = QUARANTINE_RETRY_MS,
)
