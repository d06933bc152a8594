package corneltrack.router

import corneltrack.policy.EndpointReport
import corneltrack.world.Endpoint
import java.util.concurrent.Executor

private const val POLL_MS = 500L

/**
 * Keeps the allocators of this router supplied with the load of their endpoints.
 *
 * Only used on the control thread.
 */
internal class AllocatorUpkeep(
    private val parts: RouterParts,
    private val allocators: HostedAllocators,
    private val loads: EndpointLoadClient,
    private val control: Executor,
) {
    private var polledMs = parts.clock()

    /** Does what is due. */
    fun tick() {
        val nowMs = parts.clock()
        if (nowMs - polledMs >= POLL_MS) {
            polledMs = nowMs
            allocators.removeIdle()
            allocators.cells.flatMap { parts.views.current.endpointsByCell[it].orEmpty() }.forEach { poll(it) }
        }
    }

    private fun poll(endpoint: Endpoint) {
        loads.fetch(endpoint).thenAcceptAsync({ answer ->
            when (answer) {
                is LoadResult.Known -> allocators.onEndpointReport(endpoint, answer.load.report(parts.clock()))
                is LoadResult.Down -> allocators.onEndpointDown(endpoint)
                is LoadResult.Unknown -> Unit
            }
        }, control)
    }
}

private fun EndpointLoad.report(nowMs: Long): EndpointReport = EndpointReport(incarnation, running, cold, nowMs)
