package corneltrack.testbed

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.io.File

private const val DEFAULT_SECONDS = 24
private const val DEFAULT_WARM_UP_SECONDS = 15
private const val MS_PER_SECOND = 1_000
private const val PERCENT = 100
private const val MEBIBYTE = 1_048_576.0

/** Measures the brief's four measures on a fleet of today's size, scenario by scenario. */
@OptIn(ExperimentalCli::class)
internal class Measure : Subcommand("measure", "Measure fairness, utilisation, control traffic and transitions") {
    private val seconds by option(
        ArgType.Int,
        "seconds",
        description = "Length of each scenario"
    ).default(DEFAULT_SECONDS)
    private val warmUp by option(
        ArgType.Int,
        "warm-up",
        description = "Seconds under load before each scenario"
    ).default(DEFAULT_WARM_UP_SECONDS)
    private val only by option(ArgType.String, "only", description = "Comma-separated scenarios; all by default")
    private val build by option(ArgType.String, "router-build", description = "Jar of another build to run")
    private val file by option(ArgType.String, "file", description = "Where to append the table")
    private val commit by option(ArgType.String, "commit", description = "Commit to name in the table").default("")

    override fun execute() {
        val chosen = only?.split(',')?.map { Scenario.valueOf(it.trim().uppercase().replace('-', '_')) }
        val results = (chosen ?: Scenario.entries).map { scenario ->
            observe(scenario).also { println(it.row()) }
        }
        val table = table(results)
        println(table)
        file?.let { File(it).appendText(table + "\n") }
    }

    private fun observe(scenario: Scenario): ScenarioResult =
        TestFleet(measuredPlan, build?.let { File(it) }).use { fleet ->
            fleet.start()
            val driver = LoadDriver(
                CallerClient(fleet.group),
                unevenBacklogs(fleet, flooding = scenario == Scenario.FLOOD),
                ::requestTokens,
            )
            driver.start()
            Thread.sleep(warmUp * MS_PER_SECOND.toLong())
            FleetProbe(fleet, driver).use { probe ->
                val before = probe.totals()
                probe.start()
                val beganMs = nowMs()
                val notes = disturb(scenario, fleet, probe, seconds * MS_PER_SECOND.toLong())
                val elapsed = (nowMs() - beganMs) / MS_PER_SECOND.toDouble()
                result(scenario, fleet, driver, Observed(probe, before, elapsed), notes).also { driver.stop() }
            }
        }

    private class Observed(val probe: FleetProbe, val before: Map<String, RouterTotals>, val seconds: Double)

    private fun result(
        scenario: Scenario,
        fleet: TestFleet,
        driver: LoadDriver,
        observed: Observed,
        notes: String,
    ): ScenarioResult {
        val samples = observed.probe.samples()
        val after = observed.probe.totals()
        fun largest(value: (RouterTotals) -> Double): Double = after.maxOf { (id, totals) ->
            (value(totals) - (observed.before[id]?.let(value) ?: 0.0)) / observed.seconds
        }
        return ScenarioResult(
            scenario = scenario,
            gap = fairnessGap(samples),
            gapFirstHalf = fairnessGap(samples.take(samples.size / 2)),
            utilisation = observed.probe.utilisation(),
            controlBytes = largest { it.controlBytes },
            crossRegionControlBytes = largest { it.crossRegionControlBytes },
            crossRegionRequestBytes = largest { it.crossRegionRequestBytes },
            controlCore = largest { it.controlSeconds },
            residentBytes = after.maxOf { it.value.residentBytes },
            counts = driver.counts.toString(),
            coldStartOverloads = fleet.engines.values.sumOf { it.coldStartOverloads.get() },
            refusedRequests = fleet.engines.values.sumOf { it.refusedRequests.get() },
            notes = (listOf(notes).filter { it.isNotEmpty() } + spread(samples) + lending(observed.probe))
                .joinToString("; "),
        )
    }

    /** Names the workspaces that were served least and most. */
    private fun spread(samples: List<ServiceSample>): String {
        val first = samples.firstOrNull()?.served.orEmpty()
        val served = samples.lastOrNull()?.served.orEmpty().mapValues { it.value - (first[it.key] ?: 0) }
        val least = served.minByOrNull { it.value }
        val most = served.maxByOrNull { it.value }
        return "served ${least?.value} (${least?.key}) to ${most?.value} (${most?.key})"
    }

    private fun lending(probe: FleetProbe): String {
        val (usable, lent) = probe.lending()
        return "usable %.1f %%, lent %.1f %% of the limits".format(usable * PERCENT, lent * PERCENT)
    }

    private fun table(results: List<ScenarioResult>): String = buildString {
        appendLine("commit $commit, `bin/corneltrack-testbed measure --seconds $seconds --warm-up $warmUp`")
        appendLine()
        appendLine(
            "| scenario | gap, tokens (first half) | utilisation | control B/s | cross-region control B/s | " +
                "cross-region request B/s | control core % | RSS MiB | callers saw | " +
                "over-limit starts cold, warm | notes |",
        )
        appendLine("|---|---|---|---|---|---|---|---|---|---|---|")
        results.forEach { appendLine(it.row()) }
    }

    private fun ScenarioResult.row(): String = listOf(
        scenario.title,
        "%.0f (%.0f)".format(gap, gapFirstHalf),
        "%.1f %%".format(utilisation * PERCENT),
        "%.0f".format(controlBytes),
        "%.0f".format(crossRegionControlBytes),
        "%.0f".format(crossRegionRequestBytes),
        "%.2f".format(controlCore * PERCENT),
        "%.0f".format(residentBytes / MEBIBYTE),
        counts,
        "$coldStartOverloads, $refusedRequests",
        notes,
    ).joinToString(" | ", "| ", " |")
}
