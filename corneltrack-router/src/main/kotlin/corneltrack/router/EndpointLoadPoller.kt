package corneltrack.router

import corneltrack.policy.EndpointReport
import corneltrack.world.Endpoint
import java.util.concurrent.Executor

private const val POLL_PERIOD_MS = 500L

/**
 * Polls the load of the endpoints whose slots the hosted allocators lend.
 *
 * Must be used on the control thread only.
 */
internal class EndpointLoadPoller(
    private val context: RouterContext,
    private val allocators: HostedAllocators,
    private val loads: EndpointLoadClient,
    private val control: Executor,
) {
    private var lastPollMs = context.clock()

    /** Removes idle allocators and polls the endpoints of the others, once per [POLL_PERIOD_MS]. */
    fun tick() {
        val nowMs = context.clock()
        if (nowMs - lastPollMs >= POLL_PERIOD_MS) {
            lastPollMs = nowMs
            allocators.removeIdle()
            allocators.cells.flatMap { context.views.current.endpointsByCell[it].orEmpty() }.forEach { poll(it) }
        }
    }

    private fun poll(endpoint: Endpoint) {
        loads.fetch(endpoint).thenAcceptAsync({ result ->
            when (result) {
                is LoadResult.Known -> allocators.onEndpointReport(endpoint, result.load.toReport(context.clock()))
                is LoadResult.Down -> allocators.onEndpointDown(endpoint)
                is LoadResult.Unknown -> Unit
            }
        }, control)
    }
}

private fun EndpointLoad.toReport(nowMs: Long): EndpointReport = EndpointReport(incarnation, running, cold, nowMs)
