package corneltrack.world.routing

import corneltrack.world.PoolId

/**
 * Returns what is wrong with [table]: entries that no request can reach, references to nothing, values out of range and
 * limits that contradict each other. Errors and warnings come in the order of the table's entries.
 *
 * @param current the table in force, which only a table of a higher version replaces; null if unknown.
 */
public fun checkTable(table: RoutingTable, current: RoutingTable? = null): List<TableFinding> {
    val findings = TableFindings()
    findings.checkVersion(table, current)
    findings.checkReachability(table)
    table.routes.forEach { findings.checkRoute(it, table) }
    findings.checkPools(table)
    findings.checkWorkspaces(table)
    findings.checkLimits(table.limits)
    return findings.all
}

private fun TableFindings.checkVersion(table: RoutingTable, current: RoutingTable?) {
    if (current == null) return
    val outdated = table.version <= current.version
    error("version", "${table.version} does not replace the version in force, ${current.version}", outdated)
}

/** Routes are chosen by host and longest path prefix, so that of two with the same host and prefix only one matches. */
private fun TableFindings.checkReachability(table: RoutingTable) {
    table.routes.groupBy { it.host to it.pathPrefix }.values.forEach { same ->
        same.drop(1).forEach { route ->
            error("route ${route.name}", "never matches: route ${same.first().name} has the same host and path prefix")
        }
    }
    table.routes.groupBy {
        it.name
    }.filterValues { it.size > 1 }.keys.forEach { error("route $it", "the name is used twice") }
}

private fun TableFindings.checkRoute(route: Route, table: RoutingTable) {
    val place = "route ${route.name}"
    error("$place, host", "is empty, so no request matches", route.host.isEmpty())
    val delimited = route.pathPrefix.startsWith('/') && route.pathPrefix.endsWith('/')
    error("$place, path prefix", "'${route.pathPrefix}' does not start and end with a slash", !delimited)
    checkTargets(route, table)
    checkTimes(route)
    error("$place, attempts", "${route.maximumAttempts} allows no attempt", route.maximumAttempts < 1)
    error("$place, priority", "${route.priority} is below 0, the highest", route.priority < 0)
    val stream = route.responseMode == ResponseMode.EVENT_STREAM
    warning("$place, resume", "has no effect, since the route does not stream", route.resumable && !stream)
    checkRegions(route, table)
}

private fun TableFindings.checkTargets(route: Route, table: RoutingTable) {
    val place = "route ${route.name}"
    error(place, "leads to no pool", route.pools.isEmpty())
    route.pools.filter { it.pool !in table.pools }.forEach { error("$place, pool", "${it.pool} is not in the table") }
    route.pools.filter { it.weight < 0 || !it.weight.isFinite() }
        .forEach { error("$place, weight", "${it.weight} of pool ${it.pool} is not a share") }
    val total = route.pools.sumOf { it.weight }
    error("$place, weight", "no pool has a weight above 0", route.pools.isNotEmpty() && total <= 0)
    val unused = route.pools.filter { it.weight == 0.0 }
    unused.takeIf { total > 0 }.orEmpty().forEach { warning("$place, weight", "pool ${it.pool} gets no request") }
}

private fun TableFindings.checkTimes(route: Route) {
    val place = "route ${route.name}"
    error("$place, timeout", "${route.timeoutMs} ms leaves no time", route.timeoutMs <= 0)
    error("$place, objective", "${route.objectiveMs} ms leaves no time", route.objectiveMs <= 0)
    val late = route.timeoutMs in 1 until route.objectiveMs
    warning("$place, timeout", "${route.timeoutMs} ms ends before the objective of ${route.objectiveMs} ms", late)
    val streams = route.responseMode == ResponseMode.EVENT_STREAM
    val unboundedPause = streams && route.timeoutMs > 0 && route.pauseLimitMs > route.timeoutMs
    warning("$place, pause", "${route.pauseLimitMs} ms exceeds the timeout of ${route.timeoutMs} ms", unboundedPause)
}

/** Where route and workspace both name regions, only those named by both may serve a request. */
private fun TableFindings.checkRegions(route: Route, table: RoutingTable) {
    if (route.public || route.regions.isEmpty()) return
    table.workspaces.filter { it.regions.isNotEmpty() && (it.regions intersect route.regions).isEmpty() }.forEach {
        warning("route ${route.name}, regions", "no region may serve workspace ${it.id}")
    }
}

private fun TableFindings.checkPools(table: RoutingTable) {
    val used: Set<PoolId> = table.routes.flatMap { route -> route.pools.map { it.pool } }.toSet()
    table.pools.values.forEach { pool ->
        val place = "pool ${pool.id}"
        warning(place, "no route leads to it", pool.id !in used)
        error(
            "$place, cold start",
            "${pool.coldStartRequestsPerSecond} requests/s",
            pool.coldStartRequestsPerSecond < 0
        )
        pool.engine?.let { engine ->
            error("$place, slots", "${engine.batchSlots} run no request", engine.batchSlots <= 0)
            error("$place, KV cache", "${engine.kvCacheTokens} tokens hold no prompt", engine.kvCacheTokens <= 0)
        }
    }
}

private fun TableFindings.checkWorkspaces(table: RoutingTable) {
    val holders = table.workspaces.flatMap { workspace -> workspace.keys.map { it to workspace.id } }
    holders.groupBy({ it.first }, { it.second }).values.filter { it.size > 1 }.forEach { workspaces ->
        error("workspaces ${workspaces.joinToString()}", "hold the same API key")
    }
    table.workspaces.groupBy {
        it.id
    }.filterValues { it.size > 1 }.keys.forEach { error("workspace $it", "is listed twice") }
    table.workspaces.forEach { workspace ->
        val place = "workspace ${workspace.id}"
        warning(place, "has no API key, so no request belongs to it", workspace.keys.isEmpty())
        error("$place, priority", "${workspace.priority} is below 0, the highest", (workspace.priority ?: 0) < 0)
    }
}

private fun TableFindings.checkLimits(limits: CallerLimits) {
    error("limits, head", "${limits.headerBytes} bytes hold no request", limits.headerBytes <= 0)
    error("limits, body", "${limits.bodyBytes} bytes", limits.bodyBytes < 0)
    error("limits, head timeout", "${limits.headerTimeoutMs} ms leaves no time", limits.headerTimeoutMs <= 0)
    error("limits, idle timeout", "${limits.idleTimeoutMs} ms leaves no time", limits.idleTimeoutMs <= 0)
    val contradicting = limits.idleTimeoutMs in 1 until limits.headerTimeoutMs
    warning(
        "limits, head timeout",
        "${limits.headerTimeoutMs} ms exceeds the idle timeout of ${limits.idleTimeoutMs} ms",
        contradicting,
    )
}
