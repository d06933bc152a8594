package corneltrack.control

import corneltrack.world.AuditEntry
import corneltrack.world.Configuration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private const val NO_VALUE = "-"

/**
 * A router's line in the status output.
 *
 * @property state the listed state, or "no answer" if the router did not respond.
 * @property behind whether the router has not applied the latest entry of the configuration stream.
 * @property logAgeMs the time since the last response of the log, in ms, or null if there was none.
 * @property listAgeMs the time since the last response of the instance list, in ms, or null if there was none.
 */
@Serializable
internal data class RouterLine(
    val id: String,
    val dataCentre: String,
    val state: String,
    val ready: Boolean,
    val configurationOffset: Long?,
    val behind: Boolean,
    val openRequests: Int?,
    @SerialName("logSilenceMs") val logAgeMs: Long?,
    @SerialName("listSilenceMs") val listAgeMs: Long?,
)

/**
 * A cell's line in the status output.
 *
 * @property supporters the number of routers that support the allocator.
 * @property listed the number of routers that the allocator counts as listed.
 * @property limit the sum of the endpoints' concurrency limits.
 * @property usable the number of slots, own and borrowed, that may be granted at present.
 * @property lent the number of slots that routers of the home group may be using.
 * @property borrowed the number of slots that other cells have lent to this one.
 * @property lentAway the number of slots that other cells may be using.
 * @property cold the number of endpoints in cold start.
 * @property leaving the number of endpoints that accept no new requests.
 */
@Serializable
internal data class CellLine(
    val cell: String,
    val allocator: String,
    val supporters: Int,
    val listed: Int,
    val limit: Int,
    val usable: Int,
    val lent: Int,
    val borrowed: Int,
    val lentAway: Int,
    val running: Int,
    val waiting: Int,
    val endpoints: Int,
    val cold: Int,
    val leaving: Int,
)

/**
 * A workspace's line in the status output.
 *
 * @property served the fraction of the cost served to all workspaces of the pool.
 * @property due the fraction that the weight of the workspace entitles it to.
 */
@Serializable
internal data class ShareLine(
    val pool: String,
    val workspace: String,
    val waiting: Int,
    val running: Int,
    val served: Double,
    val due: Double,
)

/** The status of the fleet. */
@Serializable
internal data class FleetReport(
    val configurationVersion: Long,
    val configurationOffset: Long,
    val takenOut: List<String>,
    val routers: List<RouterLine>,
    val cells: List<CellLine>,
    val shares: List<ShareLine>,
    val quarantined: List<String>,
)

internal fun fleetReport(
    configuration: Configuration,
    results: List<RouterStatusResult>,
    leaving: Map<String, Int>,
): FleetReport =
    FleetReport(
        configurationVersion = configuration.version,
        configurationOffset = configuration.offset,
        takenOut = configuration.takenOut.map { it.toString() }.sorted(),
        routers = results.map { it.toRouterLine(configuration) },
        cells = results.flatMap { it.toCellLines(leaving) }.sortedBy { it.cell },
        shares = shareLines(configuration, results),
        quarantined = results.flatMap { it.status?.quarantined.orEmpty() }.distinct().sorted(),
    )

private fun RouterStatusResult.toRouterLine(configuration: Configuration): RouterLine = RouterLine(
    id = instance.id.value,
    dataCentre = instance.dataCentre.value,
    state = if (status == null) "no answer" else instance.state.name.lowercase(),
    ready = status?.ready ?: false,
    configurationOffset = status?.configurationOffset,
    behind = (status?.configurationOffset ?: -1) < configuration.offset,
    openRequests = status?.openRequests,
    logAgeMs = status?.logAgeMs,
    listAgeMs = status?.listAgeMs,
)

private fun RouterStatusResult.toCellLines(leaving: Map<String, Int>): List<CellLine> =
    status?.allocates.orEmpty().filter { it.supporters > 0 }.map { cell ->
        CellLine(
            cell = cell.cell.toString(),
            allocator = instance.id.value,
            supporters = cell.supporters,
            listed = cell.listed,
            limit = cell.limits.values.sum(),
            usable = cell.usable,
            lent = cell.lent,
            borrowed = cell.borrowed,
            lentAway = cell.lentAway,
            running = cell.running,
            waiting = cell.waiting,
            endpoints = cell.limits.size,
            cold = cell.cold,
            leaving = leaving[cell.cell.toString()] ?: 0,
        )
    }

private fun shareLines(configuration: Configuration, results: List<RouterStatusResult>): List<ShareLine> {
    val lines = results.flatMap { it.status?.workspaces.orEmpty() }
    return lines.groupBy { it.pool }.toSortedMap().flatMap { (pool, inPool) ->
        val total = inPool.sumOf { it.served }.coerceAtLeast(1).toDouble()
        val byWorkspace = inPool.groupBy { it.workspace }
        val weights = byWorkspace.keys.associateWith { configuration.agreement.termsFor(it).weight }
        byWorkspace.toSortedMap().map { (workspace, own) ->
            ShareLine(
                pool = pool.value,
                workspace = workspace.value,
                waiting = own.sumOf { it.waiting },
                running = own.sumOf { it.running },
                served = own.sumOf { it.served } / total,
                due = weights.getValue(workspace) / weights.values.sum(),
            )
        }
    }
}

internal fun FleetReport.text(): String = buildString {
    appendLine("configuration: version $configurationVersion, offset $configurationOffset")
    appendLine("taken out: ${takenOut.ifEmpty { listOf("nothing") }.joinToString()}")
    appendLine()
    appendLine(row("ROUTER", "DATA CENTRE", "STATE", "READY", "OFFSET", "OPEN", "LOG MS", "LIST MS"))
    routers.forEach { appendLine(it.text()) }
    appendLine()
    appendLine(
        row("CELL", "ALLOCATOR", "SUPPORT", "LIMIT", "USABLE", "LENT/IN/OUT", "RUNNING/WAITING", "COLD/LEAVING")
    )
    cells.forEach {
        val support = "${it.supporters}/${it.listed}"
        val condition = "${it.cold}/${it.leaving} of ${it.endpoints}"
        val lent = "${it.lent}/${it.borrowed}/${it.lentAway}"
        val requests = "${it.running}/${it.waiting}"
        appendLine(row(it.cell, it.allocator, support, it.limit, it.usable, lent, requests, condition))
    }
    appendLine()
    appendLine(row("POOL", "WORKSPACE", "WAITING", "RUNNING", "SERVED", "DUE"))
    shares.forEach {
        appendLine(
            row(it.pool, it.workspace, it.waiting, it.running, it.served.toPercent(), it.due.toPercent())
        )
    }
    if (quarantined.isNotEmpty()) {
        appendLine()
        appendLine("quarantined: ${quarantined.joinToString()}")
    }
}.trimEnd()

private fun RouterLine.text(): String = row(
    id,
    dataCentre,
    state,
    ready,
    configurationOffset.orNoValue() + if (behind) " behind" else "",
    openRequests.orNoValue(),
    logAgeMs.orNoValue(),
    listAgeMs.orNoValue(),
)

internal fun List<AuditEntry>.text(): String = joinToString("\n") { entry ->
    val record = entry.record
    val head = "offset=${entry.offset} verdict=${entry.verdict} who=${record.who} at=${java.time.Instant.ofEpochMilli(
        record.atMs
    )}"
    "$head change=${record.change.subject} why=\"${record.why}\"\n  before: ${entry.before}\n  after:  ${entry.after}" +
        entry.findings.joinToString("") { "\n  finding: $it" }
}

private fun row(vararg cells: Any): String = cells.joinToString(" ") { it.toString().padEnd(COLUMN_WIDTH) }.trimEnd()

private fun Any?.orNoValue(): String = this?.toString() ?: NO_VALUE

private fun Double.toPercent(): String = "%.1f%%".format(this * PERCENT)

private const val COLUMN_WIDTH = 16
private const val PERCENT = 100
