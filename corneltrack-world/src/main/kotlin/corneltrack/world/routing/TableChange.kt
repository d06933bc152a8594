package corneltrack.world.routing

import kotlinx.serialization.Serializable

/**
 * A difference between two routing tables.
 *
 * @property place the entry and its field, for example `route draft, timeout`.
 * @property change what becomes of it, for example `800 ms -> 900 ms`.
 */
@Serializable
public data class TableChange(val place: String, val change: String) {
    override fun toString(): String = "$place: $change"
}

/** Returns what changes when [proposed] replaces [current]: routes, pools, workspaces, limits. Keys stay unnamed. */
public fun tableChanges(current: RoutingTable, proposed: RoutingTable): List<TableChange> {
    val workspacesBefore = current.workspaces.associateBy { it.id.value }
    val workspacesAfter = proposed.workspaces.associateBy { it.id.value }
    val poolsBefore = current.pools.mapKeys { it.key.value }
    val poolsAfter = proposed.pools.mapKeys { it.key.value }
    val routesAfter = proposed.routes.associateBy { it.name }
    return entryChanges("route", current.routes.associateBy { it.name }, routesAfter, ::routeFields) +
        entryChanges("pool", poolsBefore, poolsAfter, ::poolFields) +
        entryChanges("workspace", workspacesBefore, workspacesAfter, ::workspaceFields) +
        keyChanges(workspacesBefore, workspacesAfter) +
        fieldChanges("limits", limitFields(current), limitFields(proposed))
}

private fun <T> entryChanges(
    kind: String,
    before: Map<String, T>,
    after: Map<String, T>,
    fields: (T) -> Map<String, String>,
): List<TableChange> = (before.keys + after.keys).flatMap { name ->
    val old = before[name]
    val new = after[name]
    when {
        old == null -> listOf(TableChange("$kind $name", "added"))
        new == null -> listOf(TableChange("$kind $name", "removed"))
        else -> fieldChanges("$kind $name", fields(old), fields(new))
    }
}

private fun fieldChanges(place: String, before: Map<String, String>, after: Map<String, String>): List<TableChange> =
    before.filter { (field, value) -> after[field] != value }
        .map { (field, value) -> TableChange("$place, $field", "$value -> ${after[field]}") }

private fun keyChanges(
    before: Map<String, RoutedWorkspace>,
    after: Map<String, RoutedWorkspace>,
): List<TableChange> = (before.keys intersect after.keys).flatMap { name ->
    val old = before.getValue(name).keys
    val new = after.getValue(name).keys
    listOfNotNull(
        (old - new).size.takeIf { it > 0 }?.let { TableChange("workspace $name, API keys", "$it revoked") },
        (new - old).size.takeIf { it > 0 }?.let { TableChange("workspace $name, API keys", "$it added") },
    )
}

private fun routeFields(route: Route) = mapOf(
    "host" to route.host,
    "path prefix" to route.pathPrefix,
    "execution" to route.semantics.name.lowercase(),
    "response" to route.responseMode.name.lowercase(),
    "resume" to route.resumable.toString(),
    "timeout" to "${route.timeoutMs} ms",
    "objective" to "${route.objectiveMs} ms",
    "pause" to "${route.pauseLimitMs} ms",
    "priority" to route.priority.toString(),
    "attempts" to route.maximumAttempts.toString(),
    "public" to route.public.toString(),
    "pools" to route.pools.joinToString { "${it.pool} ${it.weight}" }.ifEmpty { "none" },
    "regions" to route.regions.map { it.value }.sorted().joinToString().ifEmpty { "all" },
)

private fun poolFields(pool: RoutedPool) = mapOf(
    "health path" to pool.healthPath,
    "connections" to pool.maximumConnections.toString(),
    "cold start" to "${pool.coldStartRequestsPerSecond} requests/s",
    "engine" to (pool.engine?.toString() ?: "none"),
)

private fun workspaceFields(workspace: RoutedWorkspace) = mapOf(
    "priority" to (workspace.priority?.toString() ?: "of the route"),
    "regions" to workspace.regions.map { it.value }.sorted().joinToString().ifEmpty { "all" },
)

private fun limitFields(table: RoutingTable) = mapOf(
    "head" to "${table.limits.headerBytes} bytes",
    "body" to "${table.limits.bodyBytes} bytes",
    "head timeout" to "${table.limits.headerTimeoutMs} ms",
    "idle timeout" to "${table.limits.idleTimeoutMs} ms",
    "throughput" to "${table.tokensPerSecond} tokens/s",
)
