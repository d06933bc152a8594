package corneltrack.router.relay

import corneltrack.policy.limits.EventLoopLag
import corneltrack.router.callers.NO_BODY_MEMORY
import corneltrack.router.callers.Refusal
import corneltrack.world.WorkspaceId
import io.netty.handler.codec.http.HttpRequest

/** Logs and counts the requests that are refused before an endpoint is looked for. Confined to the event loop. */
internal class RefusalRecorder(
    private val context: RelayContext,
    private val eventLoopLag: EventLoopLag,
    private val loadReport: LoadReport,
) {
    /** Records that a request of [workspace], null if unknown, gets [refusal]. */
    fun record(metadata: CallerMetadata, workspace: WorkspaceId?, refusal: Refusal) {
        val nowMs = context.nowMs()
        context.eventLog.refusedAtAdmission(metadata, workspace, refusal, eventLoopLag.lagMs(nowMs), nowMs)
        loadReport.onRefused(refusal)
        context.metrics.onRefusedAtAdmission(refusal)
    }

    /** Records that the request with [head] was refused for lack of memory, before its body was read. */
    fun onBodyRefused(head: HttpRequest) = record(context.headerMapping.readRequest(head), null, NO_BODY_MEMORY)
}
