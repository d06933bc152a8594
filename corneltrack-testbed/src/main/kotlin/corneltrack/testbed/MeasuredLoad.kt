package corneltrack.testbed

import corneltrack.world.WorkspaceId

/** The tokens of each request of [workspace]; the largest is [LARGEST_COST]. */
internal fun tokensOf(workspace: WorkspaceId): Int = when (numberOf(workspace) % SIZES) {
    0 -> LARGEST_COST
    1 -> MEDIUM_COST
    else -> SMALL_COST
}

/** Spreads workspaces unevenly: a few large ones at all routers, most small ones in the first region. */
internal fun unevenBacklogs(fleet: TestFleet, flooding: Boolean): List<Backlog> {
    val regions = fleet.routers.groupBy { it.id.substringBefore('-') }.values.toList()
    return fleet.plan.workspaces.flatMap { workspace ->
        val number = numberOf(workspace)
        val flood = if (flooding && number == 1) FLOOD_FACTOR else 1
        when {
            number <= LARGE -> regions.flatMap { backlogs(workspace, it, LARGE_CALLS * flood) }
            number <= LARGE + FIRST_REGION -> backlogs(workspace, regions[0], SMALL_CALLS)
            number % 2 == 0 -> backlogs(workspace, regions[1], SMALL_CALLS)
            else -> backlogs(workspace, regions[2], SMALL_CALLS)
        }
    }
}

/** Keeps [calls] requests of every workspace under way at every router. */
internal fun evenBacklogs(fleet: TestFleet, calls: Int): List<Backlog> =
    fleet.plan.workspaces.flatMap { workspace -> fleet.routers.map { Backlog(workspace, it.callerAddress, calls) } }

/** Spreads the calls of [workspace] over the routers of one region, behind a balancer of their own. */
private fun backlogs(workspace: WorkspaceId, routers: List<RouterProcess>, calls: Int): List<Backlog> {
    val addresses = routers.map { it.callerAddress }
    return addresses.map { Backlog(workspace, it, calls, addresses - it) }
}

private fun numberOf(workspace: WorkspaceId): Int = workspace.value.filter { it.isDigit() }.toInt()

/** The tokens of the largest request. */
internal const val LARGEST_COST: Int = 100
private const val MEDIUM_COST = 50
private const val SMALL_COST = 25
private const val SIZES = 4
private const val LARGE = 3
private const val FIRST_REGION = 8
private const val LARGE_CALLS = 4
private const val SMALL_CALLS = 8
private const val FLOOD_FACTOR = 10
