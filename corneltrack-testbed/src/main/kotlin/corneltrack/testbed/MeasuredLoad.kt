package corneltrack.testbed

import corneltrack.world.WorkspaceId

/** Returns the number of tokens of each request of [workspace], at most [LARGE_REQUEST_TOKENS]. */
internal fun requestTokens(workspace: WorkspaceId): Int = when (workspaceNumber(workspace) % REQUEST_SIZES) {
    0 -> LARGE_REQUEST_TOKENS
    1 -> MEDIUM_REQUEST_TOKENS
    else -> SMALL_REQUEST_TOKENS
}

/**
 * Spreads the workspaces unevenly: a few large ones send to all regions, most small ones to the first region.
 *
 * @param flooding whether the first workspace sends [FLOOD_FACTOR] times its usual number of calls.
 */
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

/** Returns a backlog of [calls] concurrent calls of every workspace at every router. */
internal fun evenBacklogs(fleet: TestFleet, calls: Int): List<Backlog> =
    fleet.plan.workspaces.flatMap { workspace -> fleet.routers.map { Backlog(workspace, it.callerAddress, calls) } }

/** Returns backlogs of [workspace] at each of the [routers] of a region, which are alternates for one another. */
private fun regionBacklogs(workspace: WorkspaceId, routers: List<RouterProcess>, calls: Int): List<Backlog> {
    val addresses = routers.map { it.callerAddress }
    return addresses.map { Backlog(workspace, it, calls, addresses - it) }
}

private fun workspaceNumber(workspace: WorkspaceId): Int = workspace.value.filter { it.isDigit() }.toInt()

/** The number of tokens of the largest request. */
internal const val LARGE_REQUEST_TOKENS: Int = 100
private const val MEDIUM_REQUEST_TOKENS = 50
private const val SMALL_REQUEST_TOKENS = 25
private const val REQUEST_SIZES = 4
private const val LARGE_WORKSPACES = 3
private const val FIRST_REGION_WORKSPACES = 8
private const val LARGE_CALLS = 4
private const val SMALL_CALLS = 8
private const val FLOOD_FACTOR = 10
