package corneltrack.testbed

import corneltrack.world.WorkspaceId

/** The tokens of each request of [workspace]; the largest is [LARGE_REQUEST_TOKENS]. */
internal fun requestTokens(workspace: WorkspaceId): Int = when (workspaceNumber(workspace) % REQUEST_SIZES) {
    0 -> LARGE_REQUEST_TOKENS
    1 -> MEDIUM_REQUEST_TOKENS
    else -> SMALL_REQUEST_TOKENS
}

/** Spreads workspaces unevenly: a few large ones at all routers, most small ones in the first region. */
internal fun unevenBacklogs(fleet: TestFleet, flooding: Boolean): List<Backlog> {
    val regions = fleet.routers.groupBy { it.id.substringBefore('-') }.values.toList()
    return fleet.plan.workspaces.flatMap { workspace ->
        val number = workspaceNumber(workspace)
        val floodFactor = if (flooding && number == 1) FLOOD_FACTOR else 1
        when {
            number <= LARGE_WORKSPACES -> regions.flatMap { regionBacklogs(workspace, it, LARGE_CALLS * floodFactor) }
            number <= LARGE_WORKSPACES + FIRST_REGION_WORKSPACES -> regionBacklogs(workspace, regions[0], SMALL_CALLS)
            number % 2 == 0 -> regionBacklogs(workspace, regions[1], SMALL_CALLS)
            else -> regionBacklogs(workspace, regions[2], SMALL_CALLS)
        }
    }
}

/** Keeps [calls] requests of every workspace under way at every router. */
internal fun evenBacklogs(fleet: TestFleet, calls: Int): List<Backlog> =
    fleet.plan.workspaces.flatMap { workspace -> fleet.routers.map { Backlog(workspace, it.callerAddress, calls) } }

/** Spreads the calls of [workspace] over the routers of one region, behind a balancer of their own. */
private fun regionBacklogs(workspace: WorkspaceId, routers: List<RouterProcess>, calls: Int): List<Backlog> {
    val addresses = routers.map { it.callerAddress }
    return addresses.map { Backlog(workspace, it, calls, addresses - it) }
}

private fun workspaceNumber(workspace: WorkspaceId): Int = workspace.value.filter { it.isDigit() }.toInt()

/** The tokens of the largest request. */
internal const val LARGE_REQUEST_TOKENS: Int = 100
private const val MEDIUM_REQUEST_TOKENS = 50
private const val SMALL_REQUEST_TOKENS = 25
private const val REQUEST_SIZES = 4
private const val LARGE_WORKSPACES = 3
private const val FIRST_REGION_WORKSPACES = 8
private const val LARGE_CALLS = 4
private const val SMALL_CALLS = 8
private const val FLOOD_FACTOR = 10
