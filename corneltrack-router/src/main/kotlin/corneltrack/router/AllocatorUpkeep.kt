package corneltrack.router

import corneltrack.policy.EndpointReport
import corneltrack.policy.rendezvous
import corneltrack.world.Cell
import corneltrack.world.Endpoint
import corneltrack.world.Instance
import corneltrack.world.MemberState
import java.util.concurrent.Executor

private const val POLL_MS = 500L
private const val SUMMARY_MS = 4_000L

/**
 * Keeps the allocators of this router supplied: asks endpoints for their load and tells other cells what was served.
 *
 * Only used on the control thread.
 */
internal class AllocatorUpkeep(
    private val parts: RouterParts,
    private val duty: AllocatorDuty,
    private val loads: EndpointLoadClient,
    private val control: Executor,
) {
    private var polledMs = parts.clock()
    private var summarisedMs = parts.clock()

    /** Does what is due. */
    fun tick() {
        val nowMs = parts.clock()
        if (nowMs - polledMs >= POLL_MS) {
            polledMs = nowMs
            duty.expire()
            duty.cells.flatMap { parts.views.current.endpointsByCell[it].orEmpty() }.forEach { poll(it) }
        }
        if (nowMs - summarisedMs >= SUMMARY_MS) {
            summarisedMs = nowMs
            summarise()
        }
    }

    private fun poll(endpoint: Endpoint) {
        loads.ask(endpoint).thenAcceptAsync({ answer ->
            when (answer) {
                is LoadAnswer.Known -> duty.onEndpointReport(endpoint, answer.load.report(parts.clock()))
                is LoadAnswer.Down -> duty.onEndpointDown(endpoint)
                is LoadAnswer.Unknown -> Unit
            }
        }, control)
    }

    private fun summarise() {
        val view = parts.views.current
        val bySibling = duty.summaries()
            .filter { it.served.isNotEmpty() }
            .flatMap { summary -> siblings(summary.cell, view).map { it to summary } }
            .groupBy({ it.first }, { it.second })
        bySibling.forEach { (peer, summaries) ->
            if (peer.id == parts.settings.id) {
                summaries.forEach { duty.onSummary(it) }
            } else {
                parts.peers.summarise(peer, summaries)
            }
        }
    }

    private fun siblings(cell: Cell, view: RouterView): Set<Instance> =
        view.endpointsByCell.keys.filter { it.pool == cell.pool && it != cell }
            .mapNotNullTo(HashSet()) { sibling ->
                val live = view.home(sibling).filter { it.state == MemberState.LIVE && !view.configuration.isOut(it) }
                rendezvous(sibling.toString(), live) { it.id.value }
            }
}

private fun EndpointLoad.report(nowMs: Long): EndpointReport = EndpointReport(incarnation, running, cold, nowMs)
